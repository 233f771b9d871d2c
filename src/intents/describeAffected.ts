import { isDeepStrictEqual } from 'node:util';
import type { ConfigurationRecord } from '../configuration/records/ConfigurationRecord.ts';
import { getInServiceUpstreams, isHostInService } from './isInService.ts';
import type { PlanHost } from './FleetState.ts';

interface PoolCapacity {
  readonly upstreamCount: number;
  readonly concurrency: number;
}

function getPoolCapacity(configuration: ConfigurationRecord, poolId: string): PoolCapacity {
  const pool = configuration.pools.find(({ id }) => id === poolId);
  const upstreamCount = getInServiceUpstreams(configuration, poolId).length;
  return { upstreamCount, concurrency: upstreamCount * (pool?.maxConcurrency ?? 0) };
}

function getChangedIds<T extends { readonly id: string }>(
  before: readonly T[],
  after: readonly T[],
): string[] {
  const beforeById = new Map(before.map((entity) => [entity.id, entity]));
  const afterById = new Map(after.map((entity) => [entity.id, entity]));
  return [...new Set([...beforeById.keys(), ...afterById.keys()])]
    .filter((id) => !isDeepStrictEqual(beforeById.get(id), afterById.get(id)));
}

function getAffectedPoolIds(before: ConfigurationRecord, after: ConfigurationRecord): string[] {
  const poolIds = [...before.pools, ...after.pools].map(({ id }) => id);
  const changedIds = getChangedIds(before.pools, after.pools);
  return [...new Set(poolIds)].filter((poolId) => changedIds.includes(poolId)
    || !isDeepStrictEqual(
      getInServiceUpstreams(before, poolId),
      getInServiceUpstreams(after, poolId),
    ));
}

function describePool(
  before: ConfigurationRecord,
  after: ConfigurationRecord,
  poolId: string,
): string {
  const old = getPoolCapacity(before, poolId);
  const next = getPoolCapacity(after, poolId);
  return `pool ${poolId}: ${old.upstreamCount} -> ${next.upstreamCount} upstreams in service, `
    + `${old.concurrency} -> ${next.concurrency} concurrent attempts`;
}

function describeHosts(
  before: ConfigurationRecord,
  after: ConfigurationRecord,
  hosts: readonly PlanHost[],
): string[] {
  return hosts
    .filter((host) => isHostInService(host, before.drains) !== isHostInService(host, after.drains))
    .map((host) => (isHostInService(host, after.drains)
      ? `host ${host.hostId}: takes requests again`
      : `host ${host.hostId}: takes no new requests`));
}

/**
 * Lists what a change touches: entry hosts that go or come back, pools whose capacity changes,
 * pipelines that use them or change themselves, and the accounts that call those pipelines.
 *
 * @param before - the present configuration
 * @param after - the wanted configuration
 * @param hosts - the entry hosts that are known
 * @returns one line for each
 */
export function describeAffected(
  before: ConfigurationRecord,
  after: ConfigurationRecord,
  hosts: readonly PlanHost[],
): string[] {
  const poolIds = getAffectedPoolIds(before, after);
  const changedPipelineIds = getChangedIds(before.pipelines, after.pipelines);
  const pipelineIds = [...new Set([
    ...changedPipelineIds,
    ...after.pipelines
      .filter(({ stages }) => stages.some(({ poolId }) => poolIds.includes(poolId)))
      .map(({ id }) => id),
  ])];
  const accountIds = [...new Set([
    ...getChangedIds(before.accounts, after.accounts),
    ...after.accounts
      .filter((account) => account.pipelineIds.some((id) => pipelineIds.includes(id)))
      .map(({ id }) => id),
  ])];
  return [
    ...describeHosts(before, after, hosts),
    ...poolIds.map((poolId) => describePool(before, after, poolId)),
    ...pipelineIds.map((id) => `pipeline ${id}`),
    ...accountIds.map((id) => `account ${id}`),
  ];
}
