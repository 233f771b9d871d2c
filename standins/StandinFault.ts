import { Type, type Static } from '@sinclair/typebox';

/** Number of uses after which the fault ends; if absent, it lasts until it is cleared. */
const times = Type.Optional(Type.Integer({ minimum: 1 }));

/** Schema of a fault that a script can set on a stand-in by `POST /fault`. */
export const standinFaultSchema = Type.Union([
  /** Ends every fault. */
  Type.Object({ kind: Type.Literal('none') }),
  /** Each attempt takes longer. */
  Type.Object({ kind: Type.Literal('slow'), delayMs: Type.Integer({ minimum: 0 }), times }),
  /** Each attempt runs, then reports an error. */
  Type.Object({ kind: Type.Literal('fail'), times }),
  /** Closes all connections now; a new, cold incarnation listens after `downMs`. */
  Type.Object({ kind: Type.Literal('crash'), downMs: Type.Optional(Type.Integer({ minimum: 0 })) }),
  /** Makes the same incarnation cold, without notice. */
  Type.Object({ kind: Type.Literal('cool') }),
  /** Delays all answers until cleared. */
  Type.Object({ kind: Type.Literal('freeze') }),
  /** Closes the connection of each request. */
  Type.Object({ kind: Type.Literal('cut'), times }),
  /** Runs the attempt, then closes the connection instead of answering. */
  Type.Object({ kind: Type.Literal('loseAnswer'), times }),
  /** Refuses without running. */
  Type.Object({ kind: Type.Literal('refuse'), retryAfterS: Type.Optional(Type.Integer()), times }),
  /** Ends the answer before it is complete. */
  Type.Object({ kind: Type.Literal('truncate'), times }),
  /** Sends each event of a stream twice; other answers have the id of another attempt. */
  Type.Object({ kind: Type.Literal('duplicate'), times }),
  /** Crashes on each attempt whose input contains the substring. */
  Type.Object({ kind: Type.Literal('poison'), substring: Type.String({ minLength: 1 }) }),
]);

/** A fault that a script can set on a stand-in. */
export type StandinFault = Static<typeof standinFaultSchema>;
