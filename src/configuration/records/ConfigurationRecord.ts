import { Type, type Static } from '@sinclair/typebox';
import { accountRecordSchema } from './AccountRecord.ts';
import { drainRecordSchema } from './DrainRecord.ts';
import { pipelineRecordSchema } from './PipelineRecord.ts';
import { poolRecordSchema } from './PoolRecord.ts';
import { recentPlanRecordSchema } from './RecentPlanRecord.ts';
import { upstreamRecordSchema } from './UpstreamRecord.ts';

/** Schema of the operators' configuration: one value, replaced as a whole by compare-and-swap. */
export const configurationRecordSchema = Type.Object({
  /** Increases by one with each accepted change; a host never adopts a lower version. */
  version: Type.Integer({ minimum: 0 }),
  /** Id of the plan whose confirmation wrote this version. */
  planId: Type.String(),
  pools: Type.Array(poolRecordSchema),
  upstreams: Type.Array(upstreamRecordSchema),
  pipelines: Type.Array(pipelineRecordSchema),
  accounts: Type.Array(accountRecordSchema),
  drains: Type.Array(drainRecordSchema),
  /** The most recently accepted plans, oldest first; bounded in number. */
  recentPlans: Type.Optional(Type.Array(recentPlanRecordSchema)),
}, { additionalProperties: false });

/** The operators' configuration. */
export type ConfigurationRecord = Static<typeof configurationRecordSchema>;

/**
 * Creates the configuration of a system for which no plan has been confirmed.
 *
 * @returns a configuration of version 0 without entities
 */
export function createEmptyConfiguration(): ConfigurationRecord {
  return {
    version: 0, planId: '', pools: [], upstreams: [], pipelines: [], accounts: [], drains: [],
  };
}
