import { Type, type Static } from '@sinclair/typebox';
import { accountRecordSchema } from '../configuration/records/AccountRecord.ts';
import { drainRecordSchema } from '../configuration/records/DrainRecord.ts';
import { pipelineRecordSchema } from '../configuration/records/PipelineRecord.ts';
import { poolRecordSchema } from '../configuration/records/PoolRecord.ts';
import { upstreamRecordSchema } from '../configuration/records/UpstreamRecord.ts';

/** Schema of an intent: the state that an operator wants; entities are added or replaced by id. */
export const intentSchema = Type.Object({
  /** Reason for the change, as free text. */
  reason: Type.Optional(Type.String()),
  pools: Type.Optional(Type.Array(poolRecordSchema)),
  upstreams: Type.Optional(Type.Array(upstreamRecordSchema)),
  pipelines: Type.Optional(Type.Array(pipelineRecordSchema)),
  accounts: Type.Optional(Type.Array(accountRecordSchema)),
  /** Hosts, upstreams and failure domains to take out of service. */
  drain: Type.Optional(Type.Array(drainRecordSchema)),
  /** Hosts, upstreams and failure domains to put back into service. */
  restore: Type.Optional(Type.Array(drainRecordSchema)),
  /** Ids of the entities to remove. */
  remove: Type.Optional(Type.Object({
    poolIds: Type.Optional(Type.Array(Type.String())),
    upstreamIds: Type.Optional(Type.Array(Type.String())),
    pipelineIds: Type.Optional(Type.Array(Type.String())),
    accountIds: Type.Optional(Type.Array(Type.String())),
  }, { additionalProperties: false })),
}, { additionalProperties: false });

/** The state that an operator wants, as changes to the configuration. */
export type Intent = Static<typeof intentSchema>;
