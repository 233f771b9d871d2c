import type { ConfigurationRecord } from '../configuration/records/ConfigurationRecord.ts';
import { DRAIN_TARGET_KIND, type DrainRecord } from '../configuration/records/DrainRecord.ts';
import type { PipelineRecord } from '../configuration/records/PipelineRecord.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import { findNearestName } from '../lib/findNearestName.ts';
import type { Intent } from './Intent.ts';
import { getInServiceUpstreams, isHostInService, isSameDrain } from './isInService.ts';
import type { FleetState } from './FleetState.ts';

/** Options of {@link findConflicts}. */
export interface FindConflictsOptions {
  readonly intent: Intent;
  readonly before: ConfigurationRecord;
  readonly after: ConfigurationRecord;
  readonly fleetState: FleetState;
}

function getIds(entities: readonly { readonly id: string }[]): string[] {
  return entities.map(({ id }) => id);
}

function describeUnknownId(type: string, id: string, known: readonly string[]): string {
  const nearest = findNearestName(id, known);
  const cure = nearest === null
    ? `known: ${known.join(', ') || 'none'}`
    : `did you mean ${nearest}?`;
  return `${type} ${id} does not exist; ${cure}`;
}

function findUpstreamConflicts({ after }: FindConflictsOptions): string[] {
  const poolIds = getIds(after.pools);
  return after.upstreams
    .filter(({ poolId }) => !poolIds.includes(poolId))
    .map(({ id, poolId }) => `upstream ${id}: ${describeUnknownId('pool', poolId, poolIds)}`);
}

function findPoolConflicts({ after }: FindConflictsOptions): string[] {
  return after.pools
    .filter((pool) => pool.coldConcurrency > pool.maxConcurrency)
    .map((pool) => `pool ${pool.id}: coldConcurrency ${pool.coldConcurrency} is above `
      + `maxConcurrency ${pool.maxConcurrency}; lower it`);
}

function findStageConflicts(pipeline: PipelineRecord, after: ConfigurationRecord): string[] {
  const poolIds = getIds(after.pools);
  return pipeline.stages.flatMap((stage, index) => {
    const label = `pipeline ${pipeline.id}, stage ${stage.id}`;
    if (!poolIds.includes(stage.poolId)) {
      return [`${label}: ${describeUnknownId('pool', stage.poolId, poolIds)}`];
    }
    const isRepeated = getIds(pipeline.stages).indexOf(stage.id) !== index;
    const isEmpty = getInServiceUpstreams(after, stage.poolId).length === 0;
    return [
      ...isRepeated ? [`${label}: the stage id is not unique; give each stage its own`] : [],
      ...isEmpty
        ? [`${label}: pool ${stage.poolId} has no upstream in service; add or restore one, `
          + 'or remove the pipeline']
        : [],
    ];
  });
}

function findPipelineConflicts({ after }: FindConflictsOptions): string[] {
  return after.pipelines.flatMap((pipeline) => {
    const expectedMs = pipeline.stages.reduce((sum, stage) => sum + stage.expectedMs, 0);
    return [
      ...findStageConflicts(pipeline, after),
      ...expectedMs > pipeline.deadlineMs
        ? [`pipeline ${pipeline.id}: the expected time of its stages is ${expectedMs} ms, its `
          + `deadline is ${pipeline.deadlineMs} ms; raise the deadline`]
        : [],
    ];
  });
}

function findCostCeilingConflicts({ after }: FindConflictsOptions): string[] {
  return after.accounts
    .filter((account) => account.requestCostCeilingMicros > 0)
    .flatMap((account) => after.pipelines
      .filter(({ id }) => account.pipelineIds.includes(id))
      .map((pipeline) => ({
        id: pipeline.id,
        costMicros: pipeline.stages.reduce((sum, stage) => sum + stage.expectedCostMicros, 0),
      }))
      .filter(({ costMicros }) => costMicros > account.requestCostCeilingMicros)
      .map(({ id, costMicros }) => (
        `account ${account.id}: pipeline ${id} is expected to cost ${costMicros} `
        + `micros, the ceiling is ${account.requestCostCeilingMicros}; raise the ceiling`)));
}

function findAccountConflicts({ after }: FindConflictsOptions): string[] {
  const pipelineIds = getIds(after.pipelines);
  const firstByKey = new Map<string, string>();
  return after.accounts.flatMap((account) => {
    const first = firstByKey.get(account.keySha256);
    firstByKey.set(account.keySha256, first ?? account.id);
    return [
      ...account.pipelineIds
        .filter((id) => !pipelineIds.includes(id))
        .map((id) => `account ${account.id}: ${describeUnknownId('pipeline', id, pipelineIds)}`),
      ...first === undefined
        ? []
        : [`account ${account.id}: has the same key as account ${first}; give each its own key`],
    ];
  });
}

function getKnownTargetIds(kind: DrainRecord['kind'], options: FindConflictsOptions): string[] {
  const { after, fleetState } = options;
  switch (kind) {
    case DRAIN_TARGET_KIND.host:
      return fleetState.hosts.map(({ hostId }) => hostId);
    case DRAIN_TARGET_KIND.upstream:
      return getIds(after.upstreams);
    case DRAIN_TARGET_KIND.failureDomain:
      return [...new Set([...after.upstreams, ...fleetState.hosts]
        .map(({ failureDomainId }) => failureDomainId))];
    default:
      throw exhaustiveSwitchError(kind);
  }
}

function findDrainConflicts(options: FindConflictsOptions): string[] {
  const { drain = [], restore = [] } = options.intent;
  const { before } = options;
  // A drained target may be restored even if it is not currently known.
  const isDrained = (target: DrainRecord): boolean => before.drains
    .some((other) => isSameDrain(target, other));
  return [
    ...[...drain, ...restore]
      .filter((target) => !isDrained(target))
      .filter(({ kind, id }) => !getKnownTargetIds(kind, options).includes(id))
      .map(({ kind, id }) => describeUnknownId(kind, id, getKnownTargetIds(kind, options))),
    ...drain
      .filter((target) => restore.some((other) => isSameDrain(target, other)))
      .map(({ kind, id }) => `${kind} ${id} is both drained and restored; choose one`),
  ];
}

function findLastHostConflicts({ before, after, fleetState }: FindConflictsOptions): string[] {
  const isEveryHostDrained = fleetState.hosts.some((host) => isHostInService(host, before.drains))
    && !fleetState.hosts.some((host) => isHostInService(host, after.drains));
  return isEveryHostDrained
    ? ['no entry host would be in service; leave one in service or restore one']
    : [];
}

interface RemovalOptions {
  readonly type: string;
  readonly ids: readonly string[] | undefined;
  readonly current: readonly { readonly id: string }[];
  readonly desired: readonly { readonly id: string }[] | undefined;
}

function findEntityRemovalConflicts(options: RemovalOptions): string[] {
  const {
    type, ids = [], current, desired = [],
  } = options;
  return [
    ...ids
      .filter((id) => !getIds(current).includes(id))
      .map((id) => describeUnknownId(type, id, getIds(current))),
    ...ids
      .filter((id) => getIds(desired).includes(id))
      .map((id) => `${type} ${id} is both set and removed; choose one`),
  ];
}

function findRemovalConflicts({ intent, before }: FindConflictsOptions): string[] {
  const { remove = {} } = intent;
  return [
    {
      type: 'pool', ids: remove.poolIds, current: before.pools, desired: intent.pools,
    },
    {
      type: 'upstream',
      ids: remove.upstreamIds,
      current: before.upstreams,
      desired: intent.upstreams,
    },
    {
      type: 'pipeline',
      ids: remove.pipelineIds,
      current: before.pipelines,
      desired: intent.pipelines,
    },
    {
      type: 'account',
      ids: remove.accountIds,
      current: before.accounts,
      desired: intent.accounts,
    },
  ].flatMap(findEntityRemovalConflicts);
}

function findSizeConflicts({ after, fleetState }: FindConflictsOptions): string[] {
  const sizeBytes = Buffer.byteLength(JSON.stringify(after));
  return sizeBytes <= fleetState.maxValueBytes
    ? []
    : [`the configuration would have ${sizeBytes} bytes, the platform stores at most `
      + `${fleetState.maxValueBytes}; remove unused entities`];
}

/**
 * Finds all reasons why an intent can't be fulfilled.
 *
 * @param options - the intent, the configuration before and after, and the fleet state
 * @returns one line for each conflict, with its cure
 */
export function findConflicts(options: FindConflictsOptions): string[] {
  return [
    ...findRemovalConflicts(options),
    ...findPoolConflicts(options),
    ...findUpstreamConflicts(options),
    ...findPipelineConflicts(options),
    ...findAccountConflicts(options),
    ...findCostCeilingConflicts(options),
    ...findDrainConflicts(options),
    ...findLastHostConflicts(options),
    ...findSizeConflicts(options),
  ];
}
