import { Type, type Static } from '@sinclair/typebox';

/** One stage of a pipeline. */
export const stageRecordSchema = Type.Object({
  id: Type.String({ minLength: 1 }),
  poolId: Type.String({ minLength: 1 }),
  /** Whether a second run has no further effect; only such a stage is retried or hedged. */
  repeatable: Type.Boolean(),
  /** Service time to expect before any was measured, in milliseconds. */
  expectedMs: Type.Integer({ minimum: 0 }),
  /** Cost to expect before any was measured, in millionths of the billing currency. */
  expectedCostMicros: Type.Integer({ minimum: 0 }),
}, { additionalProperties: false });

/** A declared sequence of stages with one end-to-end deadline. */
export const pipelineRecordSchema = Type.Object({
  id: Type.String({ minLength: 1 }),
  /** Deadline of a request that names none, in milliseconds after its arrival. */
  deadlineMs: Type.Integer({ minimum: 1 }),
  stages: Type.Array(stageRecordSchema, { minItems: 1, maxItems: 16 }),
}, { additionalProperties: false });

/** One stage of a pipeline. */
export type StageRecord = Static<typeof stageRecordSchema>;

/** A declared sequence of stages with one end-to-end deadline. */
export type PipelineRecord = Static<typeof pipelineRecordSchema>;
