import { Type, type Static } from '@sinclair/typebox';

/** How often the fault strikes before it ends by itself; absent for until it is cleared. */
const times = Type.Optional(Type.Integer({ minimum: 1 }));

/** A fault that a script can order from the platform by `POST /fault`. */
export const platformFaultSchema = Type.Union([
  /** Ends every fault. */
  Type.Object({ kind: Type.Literal('none') }),
  /** Answers each call late. */
  Type.Object({ kind: Type.Literal('slow'), delayMs: Type.Integer({ minimum: 0 }), times }),
  /** Refuses each call without effect. */
  Type.Object({ kind: Type.Literal('refuse'), times }),
  /** Answers nothing until cleared. */
  Type.Object({ kind: Type.Literal('freeze') }),
  /** Breaks the connection before the call takes effect. */
  Type.Object({ kind: Type.Literal('cut'), times }),
  /** Breaks the connection after a swap took effect. */
  Type.Object({ kind: Type.Literal('loseAnswer'), times }),
]);

/** A fault that a script can order from the platform. */
export type PlatformFault = Static<typeof platformFaultSchema>;
