import { Type, type Static } from '@sinclair/typebox';

/** Number of uses after which the fault ends; if absent, it lasts until it is cleared. */
const times = Type.Optional(Type.Integer({ minimum: 1 }));

/** Schema of a fault that a script can set on the platform by `POST /fault`. */
export const platformFaultSchema = Type.Union([
  /** Ends every fault. */
  Type.Object({ kind: Type.Literal('none') }),
  /** Delays each answer. */
  Type.Object({ kind: Type.Literal('slow'), delayMs: Type.Integer({ minimum: 0 }), times }),
  /** Refuses each call without effect. */
  Type.Object({ kind: Type.Literal('refuse'), times }),
  /** Delays all answers until cleared. */
  Type.Object({ kind: Type.Literal('freeze') }),
  /** Closes the connection before the call takes effect. */
  Type.Object({ kind: Type.Literal('cut'), times }),
  /** Closes the connection after a swap took effect. */
  Type.Object({ kind: Type.Literal('loseAnswer'), times }),
]);

/** A fault that a script can set on the platform. */
export type PlatformFault = Static<typeof platformFaultSchema>;
