import { Type, type Static } from '@sinclair/typebox';

/** Kinds of upstreams that a pool can consist of; the kind selects the adapter. */
export const POOL_KIND = {
  engine: 'engine',
  stagePool: 'stagePool',
  service: 'service',
} as const;

/** Schema of a pool: a group of interchangeable upstreams. */
export const poolRecordSchema = Type.Object({
  id: Type.String({ minLength: 1 }),
  kind: Type.Union([
    Type.Literal(POOL_KIND.engine),
    Type.Literal(POOL_KIND.stagePool),
    Type.Literal(POOL_KIND.service),
  ]),
  /** Maximum number of concurrent attempts on a warm upstream of this pool. */
  maxConcurrency: Type.Integer({ minimum: 1 }),
  /** Maximum number of concurrent attempts on a cold upstream, summed over all entry hosts. */
  coldConcurrency: Type.Integer({ minimum: 0 }),
  /** Time for which an upstream stays cold after its start, in milliseconds. */
  warmupMs: Type.Integer({ minimum: 0 }),
  /** Whether the upstreams reject commands that carry an outdated fencing token. */
  checksFencing: Type.Boolean(),
}, { additionalProperties: false });

/** A group of interchangeable upstreams. */
export type PoolRecord = Static<typeof poolRecordSchema>;
