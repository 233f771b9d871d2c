import type { ConfigurationRecord } from '../configuration/records/ConfigurationRecord.ts';
import type { DrainRecord } from '../configuration/records/DrainRecord.ts';
import type { Intent } from './Intent.ts';
import { isSameDrain } from './isInService.ts';

interface Entity {
  readonly id: string;
}

function updateEntities<T extends Entity>(
  present: readonly T[],
  wanted: readonly T[] = [],
  removedIds: readonly string[] = [],
): T[] {
  const wantedById = new Map(wanted.map((entity) => [entity.id, entity]));
  const presentIds = new Set(present.map(({ id }) => id));
  const kept = present
    .filter(({ id }) => !removedIds.includes(id))
    .map((entity) => wantedById.get(entity.id) ?? entity);
  return [...kept, ...wanted.filter(({ id }) => !presentIds.has(id))];
}

function updateDrains(
  present: readonly DrainRecord[],
  drained: readonly DrainRecord[] = [],
  restored: readonly DrainRecord[] = [],
): DrainRecord[] {
  const kept = present.filter((drain) => !restored.some((other) => isSameDrain(drain, other)));
  const added = drained.filter((drain) => !kept.some((other) => isSameDrain(drain, other)));
  return [...kept, ...added];
}

/**
 * Applies an intent without judging it. The result keeps version and plan of the present
 * configuration, and fields that this program does not know.
 *
 * @param configuration - the present configuration
 * @param intent - what is wanted
 * @returns the wanted configuration
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
