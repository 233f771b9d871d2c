import { Type, type Static } from '@sinclair/typebox';

/** A plan that was accepted: a repeated confirmation finds it, a racing one shows its changes. */
export const recentPlanRecordSchema = Type.Object({
  planId: Type.String({ minLength: 1 }),
  /** Configuration version that its confirmation wrote. */
  version: Type.Integer({ minimum: 1 }),
  /** What it changed, shortened. */
  changes: Type.Array(Type.String()),
}, { additionalProperties: false });

/** A plan that was accepted. */
export type RecentPlanRecord = Static<typeof recentPlanRecordSchema>;
