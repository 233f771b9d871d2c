import { Type, type Static } from '@sinclair/typebox';

/** What kind of upstream a pool consists of; it selects the adapter. */
export const POOL_KIND = {
  engine: 'engine',
  stagePool: 'stagePool',
  service: 'service',
} as const;

/** A group of interchangeable upstreams. */
export const poolRecordSchema = Type.Object({
  id: Type.String({ minLength: 1 }),
  kind: Type.Union([
    Type.Literal(POOL_KIND.engine),
    Type.Literal(POOL_KIND.stagePool),
    Type.Literal(POOL_KIND.service),
  ]),
  /** Concurrent attempts that a warm upstream of this pool may get at most. */
  maxConcurrency: Type.Integer({ minimum: 1 }),
  /** Concurrent attempts, summed over all entry hosts, that a cold upstream bears. */
  coldConcurrency: Type.Integer({ minimum: 0 }),
  /** How long an upstream stays cold after its start, in milliseconds. */
  warmupMs: Type.Integer({ minimum: 0 }),
  /** Whether the upstreams refuse orders that carry an old fencing number. */
  checksFencing: Type.Boolean(),
}, { additionalProperties: false });

/** A group of interchangeable upstreams. */
export type PoolRecord = Static<typeof poolRecordSchema>;
