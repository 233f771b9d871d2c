import type { AccountRecord } from '../../src/configuration/records/AccountRecord.ts';
import type { PipelineRecord } from '../../src/configuration/records/PipelineRecord.ts';
import type { PoolRecord } from '../../src/configuration/records/PoolRecord.ts';
import type { EngineStandinOptions } from '../EngineStandin.ts';
import type { ServiceStandinOptions } from '../ServiceStandin.ts';

/** A pool, with the number and options of its stand-ins. */
export interface DeployedPool {
  readonly record: PoolRecord;
  /** Number of upstreams, which are assigned to the failure domains in turn. */
  readonly upstreamCount: number;
  readonly standinOptions: Partial<EngineStandinOptions & ServiceStandinOptions>;
}

/** A client account of a deployment, without its key and pipelines. */
export type DeployedAccount = Omit<AccountRecord, 'keySha256' | 'pipelineIds'>;

/** Failure domains, pools, pipelines and client accounts of a deployment. */
export interface DeploymentDescription {
  readonly name: string;
  readonly failureDomainIds: readonly string[];
  readonly pools: readonly DeployedPool[];
  readonly pipelines: readonly PipelineRecord[];
  readonly accounts: readonly DeployedAccount[];
}

/** One upstream of a deployment. */
export interface DeployedUpstream {
  readonly upstreamId: string;
  readonly poolId: string;
  readonly kind: PoolRecord['kind'];
  readonly failureDomainId: string;
  readonly standinOptions: Partial<EngineStandinOptions & ServiceStandinOptions>;
}
