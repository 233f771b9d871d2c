import type { ConfigurationRecord } from '../configuration/records/ConfigurationRecord.ts';
import { DRAIN_TARGET_KIND, type DrainRecord } from '../configuration/records/DrainRecord.ts';
import type { PipelineRecord } from '../configuration/records/PipelineRecord.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import { findNearestName } from '../lib/findNearestName.ts';
import type { Intent } from './Intent.ts';
import { getInServiceUpstreams, isHostInService, isSameDrain } from './isInService.ts';
import type { FleetState } from './FleetState.ts';

/** What the conflicts of an intent are looked for in. */
export interface FindConflictsOptions {
  readonly intent: Intent;
  readonly before: ConfigurationRecord;
  readonly after: ConfigurationRecord;
  readonly fleetState: FleetState;
}

function getIds(entities: readonly { readonly id: string }[]): string[] {
  return entities.map(({ id }) => id);
}

function describeUnknownId(noun: string, id: string, known: readonly string[]): string {
  const nearest = findNearestName(id, known);
  const cure = nearest === null
    ? `known: ${known.join(', ') || 'none'}`
    : `did you mean ${nearest}?`;
  return `${noun} ${id} does not exist; ${cure}`;
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
    const place = `pipeline ${pipeline.id}, stage ${stage.id}`;
    if (!poolIds.includes(stage.poolId)) {
      return [`${place}: ${describeUnknownId('pool', stage.poolId, poolIds)}`];
    }
    const isRepeated = getIds(pipeline.stages).indexOf(stage.id) !== index;
    const isEmpty = getInServiceUpstreams(after, stage.poolId).length === 0;
    return [
      ...isRepeated ? [`${place}: the id stands twice; give each stage its own`] : [],
      ...isEmpty
        ? [`${place}: pool ${stage.poolId} has no upstream in service; add or restore one, `
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
        ? [`pipeline ${pipeline.id}: its stages expect ${expectedMs} ms, its deadline is `
          + `${pipeline.deadlineMs} ms; raise the deadline`]
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
      .map(({ id, costMicros }) => `account ${account.id}: pipeline ${id} expects ${costMicros} `
        + `micros, the ceiling is ${account.requestCostCeilingMicros}; raise the ceiling`));
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
        : [`account ${account.id}: has the same key as account ${first}; give each its own`],
    ];
  });
}

function getKnownTargetIds(kind: DrainRecord['kind'], options: FindConflictsOptions): string[] {
  const { after, fleetState: facts } = options;
  switch (kind) {
    case DRAIN_TARGET_KIND.host:
      return facts.hosts.map(({ hostId }) => hostId);
    case DRAIN_TARGET_KIND.upstream:
      return getIds(after.upstreams);
    case DRAIN_TARGET_KIND.failureDomain:
      return [...new Set([...after.upstreams, ...facts.hosts]
        .map(({ failureDomainId }) => failureDomainId))];
    default:
      throw exhaustiveSwitchError(kind);
  }
}

function findDrainConflicts(options: FindConflictsOptions): string[] {
  const { drain = [], restore = [] } = options.intent;
  const { before } = options;
  // What is drained already may be restored even when it is not seen now.
  const isDrained = (target: DrainRecord): boolean => before.drains
    .some((other) => isSameDrain(target, other));
  return [
    ...[...drain, ...restore]
      .filter((target) => !isDrained(target))
      .filter(({ kind, id }) => !getKnownTargetIds(kind, options).includes(id))
      .map(({ kind, id }) => describeUnknownId(kind, id, getKnownTargetIds(kind, options))),
    ...drain
      .filter((target) => restore.some((other) => isSameDrain(target, other)))
      .map(({ kind, id }) => `${kind} ${id} is to be drained and restored; choose one`),
  ];
}

function findLastHostConflicts({ before, after, fleetState: facts }: FindConflictsOptions): string[] {
  const isLastDrained = facts.hosts.some((host) => isHostInService(host, before.drains))
    && !facts.hosts.some((host) => isHostInService(host, after.drains));
  return isLastDrained
    ? ['no entry host would be in service; leave or restore one']
    : [];
}

interface RemovalOptions {
  readonly noun: string;
  readonly ids: readonly string[] | undefined;
  readonly present: readonly { readonly id: string }[];
  readonly wanted: readonly { readonly id: string }[] | undefined;
}

function findEntityRemovalConflicts(removed: RemovalOptions): string[] {
  const {
    noun, ids = [], present, wanted = [],
  } = removed;
  return [
    ...ids
      .filter((id) => !getIds(present).includes(id))
      .map((id) => describeUnknownId(noun, id, getIds(present))),
    ...ids
      .filter((id) => getIds(wanted).includes(id))
      .map((id) => `${noun} ${id} is to be set and removed; choose one`),
  ];
}

function findRemovalConflicts({ intent, before }: FindConflictsOptions): string[] {
  const { remove = {} } = intent;
  return [
    {
      noun: 'pool', ids: remove.poolIds, present: before.pools, wanted: intent.pools,
    },
    {
      noun: 'upstream',
      ids: remove.upstreamIds,
      present: before.upstreams,
      wanted: intent.upstreams,
    },
    {
      noun: 'pipeline',
      ids: remove.pipelineIds,
      present: before.pipelines,
      wanted: intent.pipelines,
    },
    {
      noun: 'account',
      ids: remove.accountIds,
      present: before.accounts,
      wanted: intent.accounts,
    },
  ].flatMap(findEntityRemovalConflicts);
}

function findSizeConflicts({ after, fleetState: facts }: FindConflictsOptions): string[] {
  const sizeBytes = Buffer.byteLength(JSON.stringify(after));
  return sizeBytes <= facts.maxValueBytes
    ? []
    : [`the configuration would take ${sizeBytes} bytes, the platform stores `
      + `${facts.maxValueBytes}; remove what is not used`];
}

/**
 * Finds why an intent can't be met as it stands, all reasons together.
 *
 * @param options - the intent, the configuration before and after, and the facts
 * @returns one line for each, with the cure
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
