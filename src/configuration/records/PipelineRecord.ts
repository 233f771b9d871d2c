import { Type, type Static } from '@sinclair/typebox';

/** Schema of one stage of a pipeline. */
export const stageRecordSchema = Type.Object({
  id: Type.String({ minLength: 1 }),
  poolId: Type.String({ minLength: 1 }),
  /** Whether the stage is idempotent; only an idempotent stage is retried or hedged. */
  repeatable: Type.Boolean(),
  /** Service time assumed until one has been measured, in milliseconds. */
  expectedMs: Type.Integer({ minimum: 0 }),
  /** Cost assumed until one has been measured, in millionths of the billing currency. */
  expectedCostMicros: Type.Integer({ minimum: 0 }),
}, { additionalProperties: false });

/** Schema of a pipeline: a sequence of stages with one end-to-end deadline. */
export const pipelineRecordSchema = Type.Object({
  id: Type.String({ minLength: 1 }),
  /** Default deadline of a request, in milliseconds after its arrival. */
  deadlineMs: Type.Integer({ minimum: 1 }),
  stages: Type.Array(stageRecordSchema, { minItems: 1, maxItems: 16 }),
}, { additionalProperties: false });

/** One stage of a pipeline. */
export type StageRecord = Static<typeof stageRecordSchema>;

/** A sequence of stages with one end-to-end deadline. */
export type PipelineRecord = Static<typeof pipelineRecordSchema>;
