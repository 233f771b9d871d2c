import { isDeepStrictEqual } from 'node:util';
import type { ConfigurationRecord } from '../configuration/records/ConfigurationRecord.ts';
import type { DrainRecord } from '../configuration/records/DrainRecord.ts';
import { isSameDrain } from './isInService.ts';

type Entity = Readonly<Record<string, unknown>> & { readonly id: string };

/** Fields whose values are not shown. */
const REDACTED_FIELDS: readonly string[] = ['keySha256'];

function formatField(name: string, before: unknown, after: unknown): string {
  const isPlain = (value: unknown): boolean => typeof value !== 'object' || value === null;
  return REDACTED_FIELDS.includes(name) || !isPlain(before) || !isPlain(after)
    ? name
    : `${name} ${String(before)} -> ${String(after)}`;
}

function describeEntity(noun: string, before: Entity, after: Entity): string[] {
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])];
  const fields = names
    .filter((name) => !isDeepStrictEqual(before[name], after[name]))
    .map((name) => formatField(name, before[name], after[name]));
  return fields.length === 0 ? [] : [`change ${noun} ${after.id}: ${fields.join(', ')}`];
}

function describeEntities(
  noun: string,
  before: readonly Entity[],
  after: readonly Entity[],
): string[] {
  const beforeById = new Map(before.map((entity) => [entity.id, entity]));
  const afterIds = new Set(after.map(({ id }) => id));
  return [
    ...after.flatMap((entity) => {
      const present = beforeById.get(entity.id);
      return present === undefined
        ? [`add ${noun} ${entity.id}`]
        : describeEntity(noun, present, entity);
    }),
    ...before
      .filter(({ id }) => !afterIds.has(id))
      .map(({ id }) => `remove ${noun} ${id}`),
  ];
}

function describeDrains(before: readonly DrainRecord[], after: readonly DrainRecord[]): string[] {
  const isIn = (list: readonly DrainRecord[], drain: DrainRecord): boolean => list
    .some((other) => isSameDrain(drain, other));
  const drained = after.filter((drain) => !isIn(before, drain));
  const restored = before.filter((drain) => !isIn(after, drain));
  return [
    ...drained.map(({ kind, id }) => `drain ${kind} ${id}`),
    ...restored.map(({ kind, id }) => `restore ${kind} ${id}`),
  ];
}

/**
 * Lists the differences between two configurations.
 *
 * @param before - the one
 * @param after - the other
 * @returns one line for each entity that differs
 */
export function describeChanges(
  before: ConfigurationRecord,
  after: ConfigurationRecord,
): string[] {
  return [
    ...describeEntities('pool', before.pools, after.pools),
    ...describeEntities('upstream', before.upstreams, after.upstreams),
    ...describeEntities('pipeline', before.pipelines, after.pipelines),
    ...describeEntities('account', before.accounts, after.accounts),
    ...describeDrains(before.drains, after.drains),
  ];
}
