import type { ConfigurationFollower } from '../configuration/ConfigurationFollower.ts';
import { DRAIN_TARGET_KIND } from '../configuration/records/DrainRecord.ts';
import type { UpstreamRecord } from '../configuration/records/UpstreamRecord.ts';
import type { SelfIdentity } from '../core/CoreContext.ts';
import { isInService } from '../intents/isInService.ts';
import { toId, type UpstreamId } from '../lib/ids.ts';
import type {
  FailureDomainStatus, HostStatus, PoolStatus, UpstreamStatus,
} from '../operators/HostStatus.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';
import type { HostMetrics } from '../telemetry/HostMetrics.ts';
import { COST_GROUPING } from '../operators/CostReport.ts';
import type { CostLedger } from '../cost/CostLedger.ts';
import { createCostReport } from '../cost/createCostReport.ts';

/** State, limit and load of one upstream, as this host knows them. */
export type UpstreamLoad = Pick<UpstreamStatus, 'state' | 'limit' | 'inFlightCount'>;

/** Sources of a host's status. */
export interface HostStatusSources {
  readonly self: SelfIdentity;
  readonly follower: ConfigurationFollower;
  readonly members: readonly MemberRecord[];
  readonly metrics: HostMetrics;
  readonly costs: CostLedger;
  readonly isStopping: boolean;
  readonly getUpstreamLoad: (upstreamId: UpstreamId) => UpstreamLoad;
}

function createUpstreamStatus(
  upstream: UpstreamRecord,
  { follower, getUpstreamLoad }: HostStatusSources,
): UpstreamStatus {
  return {
    upstreamId: upstream.id,
    failureDomainId: upstream.failureDomainId,
    isDrained: !isInService(upstream, follower.getConfiguration().drains),
    ...getUpstreamLoad(toId(upstream.id)),
  };
}

function createPoolStatuses(sources: HostStatusSources): PoolStatus[] {
  const { pools, upstreams } = sources.follower.getConfiguration();
  return pools.map(({ id, kind }) => ({
    poolId: id,
    kind,
    upstreams: upstreams
      .filter(({ poolId }) => poolId === id)
      .map((upstream) => createUpstreamStatus(upstream, sources)),
  }));
}

function createDomainStatuses({ follower, members }: HostStatusSources): FailureDomainStatus[] {
  const { upstreams, drains } = follower.getConfiguration();
  const domainIds = [...upstreams, ...members].map(({ failureDomainId }) => failureDomainId);
  return [...new Set<string>(domainIds)].sort().map((failureDomainId) => ({
    failureDomainId,
    hostCount: members.filter((member) => member.failureDomainId === failureDomainId).length,
    upstreamCount: upstreams
      .filter((upstream) => upstream.failureDomainId === failureDomainId).length,
    isDrained: drains.some(({ kind, id }) => (
      kind === DRAIN_TARGET_KIND.failureDomain && id === failureDomainId)),
  }));
}

function getNotReadyReason({ follower, isStopping }: HostStatusSources): string {
  if (isStopping) {
    return 'the host is stopping or drained';
  }
  const reason = follower.getNotReadyReason();
  const isEmpty = follower.getConfiguration().version === 0;
  return reason === '' && isEmpty ? 'no plan has been confirmed yet' : reason;
}

/**
 * Creates the status of a host for operators.
 *
 * @param sources - sources of the status
 * @returns the status
 */
export function createHostStatus(sources: HostStatusSources): HostStatus {
  const {
    self, follower, members, metrics, costs,
  } = sources;
  const notReadyReason = getNotReadyReason(sources);
  return {
    hostId: self.hostId,
    incarnationId: self.incarnationId,
    failureDomainId: self.failureDomainId,
    isReady: notReadyReason === '',
    notReadyReason,
    isPlatformReachable: follower.isPlatformReachable(),
    configurationVersion: follower.getConfiguration().version,
    members: members.map((member) => ({
      hostId: member.hostId,
      failureDomainId: member.failureDomainId,
      state: member.state,
      configurationVersion: member.configurationVersion,
    })),
    pools: createPoolStatuses(sources),
    failureDomains: createDomainStatuses(sources),
    drains: follower.getConfiguration().drains,
    attainment: metrics.getAttainment().map((row) => ({
      pipelineId: row.pipelineId,
      requestCount: row.completedCount + row.refusedCount,
      onTimeCount: row.completedCount,
    })),
    stageLatencies: [...metrics.getStageLatencies()].map(([stageId, summary]) => ({
      pipelineId: '', stageId, ...summary,
    })),
    costByStage: createCostReport(costs.getOwnRecords(), COST_GROUPING.stage).rows,
    costByAccount: createCostReport(costs.getOwnRecords(), COST_GROUPING.account).rows,
    refusals: metrics.getRefusals(),
  };
}
