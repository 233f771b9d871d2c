import { Type, type Static } from '@sinclair/typebox';

/**
 * Schema of an accepted plan. It makes a repeated confirmation idempotent, and shows the changes of
 * this plan to an operator whose concurrent plan was refused.
 */
export const recentPlanRecordSchema = Type.Object({
  planId: Type.String({ minLength: 1 }),
  /** Configuration version that the confirmation of the plan wrote. */
  version: Type.Integer({ minimum: 1 }),
  /** Descriptions of what the plan changed, truncated. */
  changes: Type.Array(Type.String()),
}, { additionalProperties: false });

/** An accepted plan. */
export type RecentPlanRecord = Static<typeof recentPlanRecordSchema>;
