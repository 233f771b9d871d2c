import type { HostStatus } from '../operators/HostStatus.ts';
import { formatTable } from './formatTable.ts';
import { formatMoney, formatPercent } from '../lib/formatValues.ts';

function getReadiness(status: HostStatus): string {
  return status.isReady ? 'ready' : `not ready (${status.notReadyReason})`;
}

function formatPools(status: HostStatus): string {
  const rows = status.pools.flatMap((pool) => pool.upstreams.map((upstream) => [
    pool.poolId, upstream.upstreamId, upstream.failureDomainId,
    upstream.isDrained ? `${upstream.state}, drained` : upstream.state,
    upstream.inFlightCount, upstream.limit,
  ]));
  return formatTable(['pool', 'upstream', 'domain', 'state', 'in flight', 'limit'], rows);
}

function formatAttainment(status: HostStatus): string {
  const rows = status.attainment.map((row) => [
    row.pipelineId, row.requestCount, row.onTimeCount,
    row.requestCount === 0 ? '-' : formatPercent(row.onTimeCount / row.requestCount),
  ]);
  return formatTable(['pipeline', 'requests', 'in time', 'attainment'], rows);
}

function formatMembers(status: HostStatus): string {
  const rows = status.members.map((member) => [
    member.hostId, member.failureDomainId, member.state, member.configurationVersion,
  ]);
  return formatTable(['host', 'domain', 'state', 'configuration'], rows);
}

function formatDomains(status: HostStatus): string {
  const rows = status.failureDomains.map((domain) => [
    domain.failureDomainId, domain.hostCount, domain.upstreamCount,
    domain.isDrained ? 'drained' : 'in service',
  ]);
  return formatTable(['failure domain', 'hosts', 'upstreams', 'state'], rows);
}

/**
 * Formats a host status as text.
 *
 * @param status - status that a host reported
 * @returns lines, each ended by a line feed
 */
export function formatStatus(status: HostStatus): string {
  const drains = status.drains.map((drain) => `${drain.kind} ${drain.id}`).join(', ');
  const refusals = status.refusals.map((row) => [row.code, row.count]);
  const costs = status.costByStage
    .map((row) => [row.name, row.attemptCount, formatMoney(row.costMicros)]);
  const latencies = status.stageLatencies.map((row) => [
    `${row.pipelineId}/${row.stageId}`, row.count, row.p50Ms, row.p95Ms, row.p99Ms,
  ]);
  return [
    `host ${status.hostId} in ${status.failureDomainId}: ${getReadiness(status)}\n`,
    `configuration version ${status.configurationVersion}, platform `,
    `${status.isPlatformReachable ? 'reachable' : 'NOT reachable'}\n`,
    `drained: ${drains === '' ? '(none)' : drains}\n`,
    `\nentry hosts\n${formatMembers(status)}`,
    `\nfailure domains\n${formatDomains(status)}`,
    `\nupstreams\n${formatPools(status)}`,
    `\nrequests since the start\n${formatAttainment(status)}`,
    `\nlatency\n${formatTable(['stage', 'attempts', 'p50 ms', 'p95 ms', 'p99 ms'], latencies)}`,
    `\ncost\n${formatTable(['stage', 'attempts', 'cost'], costs)}`,
    `\nrefusals\n${formatTable(['code', 'count'], refusals)}`,
  ].join('');
}
