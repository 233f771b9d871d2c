import type { ConfigurationRecord } from '../configuration/records/ConfigurationRecord.ts';
import type { DrainRecord } from '../configuration/records/DrainRecord.ts';
import type { Intent } from './Intent.ts';
import { isSameDrain } from './isInService.ts';

interface Entity {
  readonly id: string;
}

function updateEntities<T extends Entity>(
  current: readonly T[],
  desired: readonly T[] = [],
  removedIds: readonly string[] = [],
): T[] {
  const desiredById = new Map(desired.map((entity) => [entity.id, entity]));
  const currentIds = new Set(current.map(({ id }) => id));
  const kept = current
    .filter(({ id }) => !removedIds.includes(id))
    .map((entity) => desiredById.get(entity.id) ?? entity);
  return [...kept, ...desired.filter(({ id }) => !currentIds.has(id))];
}

function updateDrains(
  current: readonly DrainRecord[],
  drained: readonly DrainRecord[] = [],
  restored: readonly DrainRecord[] = [],
): DrainRecord[] {
  const kept = current.filter((drain) => !restored.some((other) => isSameDrain(drain, other)));
  const added = drained.filter((drain) => !kept.some((other) => isSameDrain(drain, other)));
  return [...kept, ...added];
}

/**
 * Applies an intent without checking it. The result keeps the version, the plan id and all unknown
 * fields of the current configuration.
 *
 * @param configuration - the current configuration
 * @param intent - the intent to apply
 * @returns the configuration with the intent applied
 */
export function applyIntent(
  configuration: ConfigurationRecord,
  intent: Intent,
): ConfigurationRecord {
  const { remove = {} } = intent;
  return {
    ...configuration,
    pools: updateEntities(configuration.pools, intent.pools, remove.poolIds),
    upstreams: updateEntities(configuration.upstreams, intent.upstreams, remove.upstreamIds),
    pipelines: updateEntities(configuration.pipelines, intent.pipelines, remove.pipelineIds),
    accounts: updateEntities(configuration.accounts, intent.accounts, remove.accountIds),
    drains: updateDrains(configuration.drains, intent.drain, intent.restore),
  };
}
