import { Type, type Static } from '@sinclair/typebox';

/**
 * Schema of an accepted plan. It makes a repeated confirmation idempotent, and lists the changes of
 * this plan to an operator whose own plan lost the race.
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
