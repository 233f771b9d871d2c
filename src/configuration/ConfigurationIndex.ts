import {
  toId, type AccountId, type FailureDomainId, type HostId, type PipelineId, type PoolId,
  type UpstreamId,
} from '../lib/ids.ts';
import type { AccountRecord } from './records/AccountRecord.ts';
import type { ConfigurationRecord } from './records/ConfigurationRecord.ts';
import type { PipelineRecord } from './records/PipelineRecord.ts';
import type { PoolRecord } from './records/PoolRecord.ts';
import type { UpstreamRecord } from './records/UpstreamRecord.ts';

function indexById<Id extends PoolId | UpstreamId | PipelineId | AccountId, Row extends {
  readonly id: string;
}>(rows: readonly Row[]): ReadonlyMap<Id, Row> {
  return new Map(rows.map((row) => [toId<Id>(row.id), row]));
}

/** One version of the configuration with its records indexed by id. */
export class ConfigurationIndex {
  readonly pools: ReadonlyMap<PoolId, PoolRecord>;

  readonly upstreams: ReadonlyMap<UpstreamId, UpstreamRecord>;

  readonly pipelines: ReadonlyMap<PipelineId, PipelineRecord>;

  readonly accounts: ReadonlyMap<AccountId, AccountRecord>;

  /**
   * @param record - the configuration to index
   */
  constructor(readonly record: ConfigurationRecord) {
    this.pools = indexById<PoolId, PoolRecord>(record.pools);
    this.upstreams = indexById<UpstreamId, UpstreamRecord>(record.upstreams);
    this.pipelines = indexById<PipelineId, PipelineRecord>(record.pipelines);
    this.accounts = indexById<AccountId, AccountRecord>(record.accounts);
  }

  /**
   * @param hostId - id of an entry host
   * @param failureDomainId - failure domain of the host
   * @returns whether operators have drained the host or its failure domain
   */
  isHostDrained(hostId: HostId, failureDomainId: FailureDomainId): boolean {
    return this.record.drains.some(({ kind, id }) => (
      (kind === 'host' && id === hostId) || (kind === 'failureDomain' && id === failureDomainId)
    ));
  }
}
