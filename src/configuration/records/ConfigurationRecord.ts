import { Type, type Static } from '@sinclair/typebox';
import { accountRecordSchema } from './AccountRecord.ts';
import { drainRecordSchema } from './DrainRecord.ts';
import { pipelineRecordSchema } from './PipelineRecord.ts';
import { poolRecordSchema } from './PoolRecord.ts';
import { recentPlanRecordSchema } from './RecentPlanRecord.ts';
import { upstreamRecordSchema } from './UpstreamRecord.ts';

/** The operators' configuration: one value, replaced as a whole by compare-and-swap. */
export const configurationRecordSchema = Type.Object({
  /** Grows by one with each accepted change; a host never adopts a lower one. */
  version: Type.Integer({ minimum: 0 }),
  /** The plan whose confirmation wrote this version. */
  planId: Type.String(),
  pools: Type.Array(poolRecordSchema),
  upstreams: Type.Array(upstreamRecordSchema),
  pipelines: Type.Array(pipelineRecordSchema),
  accounts: Type.Array(accountRecordSchema),
  drains: Type.Array(drainRecordSchema),
  /** The plans that were accepted last, the latest last; bounded. */
  recentPlans: Type.Optional(Type.Array(recentPlanRecordSchema)),
}, { additionalProperties: false });

/** The operators' configuration. */
export type ConfigurationRecord = Static<typeof configurationRecordSchema>;

/**
 * @returns the configuration of a system that nothing was confirmed for yet
 */
export function createEmptyConfiguration(): ConfigurationRecord {
  return {
    version: 0, planId: '', pools: [], upstreams: [], pipelines: [], accounts: [], drains: [],
  };
}
