import { getValueAt, type DocumentProblem } from '../yaml/DocumentProblem.ts';

const ENTITY_LISTS = ['pools', 'upstreams', 'pipelines', 'accounts'] as const;

function getDuplicateIdProblems(list: string, entities: readonly unknown[]): DocumentProblem[] {
  const seen = new Set<unknown>();
  return entities.flatMap((entity, index) => {
    const id = getValueAt(entity, ['id']);
    if (id === undefined || !seen.has(id)) {
      seen.add(id);
      return [];
    }
    return [{
      path: [list, index, 'id'],
      key: null,
      isSecret: false,
      message: 'stands twice in this list',
      cure: 'give one entry for each id',
    }];
  });
}

/**
 * Finds what the schema of intents can't express: an entity that is named twice.
 *
 * @param value - the intent as it stands, possibly against the schema
 * @returns the problems
 */
export function getIntentProblems(value: unknown): DocumentProblem[] {
  return ENTITY_LISTS.flatMap((list) => {
    const entities = getValueAt(value, [list]);
    return Array.isArray(entities) ? getDuplicateIdProblems(list, entities) : [];
  });
}
