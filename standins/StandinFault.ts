import { Type, type Static } from '@sinclair/typebox';

/** How often the fault strikes before it ends by itself; absent for until it is cleared. */
const times = Type.Optional(Type.Integer({ minimum: 1 }));

/** A fault that a script can order from a stand-in by `POST /fault`. */
export const standinFaultSchema = Type.Union([
  /** Ends every fault. */
  Type.Object({ kind: Type.Literal('none') }),
  /** Each attempt takes longer. */
  Type.Object({ kind: Type.Literal('slow'), delayMs: Type.Integer({ minimum: 0 }), times }),
  /** Each attempt runs, then reports an error. */
  Type.Object({ kind: Type.Literal('fail'), times }),
  /** Breaks all connections now; a new, cold incarnation listens again after `downMs`. */
  Type.Object({ kind: Type.Literal('crash'), downMs: Type.Optional(Type.Integer({ minimum: 0 })) }),
  /** Turns cold in the same incarnation, without notice. */
  Type.Object({ kind: Type.Literal('cool') }),
  /** Answers nothing until cleared. */
  Type.Object({ kind: Type.Literal('freeze') }),
  /** Breaks each connection that carries a request. */
  Type.Object({ kind: Type.Literal('cut'), times }),
  /** Does the work, then breaks the connection in place of the answer. */
  Type.Object({ kind: Type.Literal('loseAnswer'), times }),
  /** Refuses without running. */
  Type.Object({ kind: Type.Literal('refuse'), retryAfterS: Type.Optional(Type.Integer()), times }),
  /** Ends the answer before it is whole. */
  Type.Object({ kind: Type.Literal('truncate'), times }),
  /** Sends each part of a stream twice; a whole answer carries another attempt's id. */
  Type.Object({ kind: Type.Literal('duplicate'), times }),
  /** Crashes at each attempt whose input contains the text. */
  Type.Object({ kind: Type.Literal('poison'), substring: Type.String({ minLength: 1 }) }),
]);

/** A fault that a script can order from a stand-in. */
export type StandinFault = Static<typeof standinFaultSchema>;
