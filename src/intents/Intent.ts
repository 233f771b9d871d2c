import { Type, type Static } from '@sinclair/typebox';
import { accountRecordSchema } from '../configuration/records/AccountRecord.ts';
import { drainRecordSchema } from '../configuration/records/DrainRecord.ts';
import { pipelineRecordSchema } from '../configuration/records/PipelineRecord.ts';
import { poolRecordSchema } from '../configuration/records/PoolRecord.ts';
import { upstreamRecordSchema } from '../configuration/records/UpstreamRecord.ts';

/** What an operator wants to hold; entities are added or replaced by id. */
export const intentSchema = Type.Object({
  /** Free text for the record of changes. */
  reason: Type.Optional(Type.String()),
  pools: Type.Optional(Type.Array(poolRecordSchema)),
  upstreams: Type.Optional(Type.Array(upstreamRecordSchema)),
  pipelines: Type.Optional(Type.Array(pipelineRecordSchema)),
  accounts: Type.Optional(Type.Array(accountRecordSchema)),
  /** Hosts, upstreams and failure domains to take out of service. */
  drain: Type.Optional(Type.Array(drainRecordSchema)),
  /** Hosts, upstreams and failure domains to bring back. */
  restore: Type.Optional(Type.Array(drainRecordSchema)),
  /** Entities to remove. */
  remove: Type.Optional(Type.Object({
    poolIds: Type.Optional(Type.Array(Type.String())),
    upstreamIds: Type.Optional(Type.Array(Type.String())),
    pipelineIds: Type.Optional(Type.Array(Type.String())),
    accountIds: Type.Optional(Type.Array(Type.String())),
  }, { additionalProperties: false })),
}, { additionalProperties: false });

/** What an operator wants to hold. */
export type Intent = Static<typeof intentSchema>;
