/** Names further apart than this share of their length are no likely slip of the pen. */
const MAX_DISTANCE_RATIO = 0.5;

/**
 * Counts the edits between two names (Levenshtein distance).
 *
 * @param left - one name
 * @param right - the other name
 * @returns the least number of inserted, deleted and replaced characters
 */
export function getEditDistance(left: string, right: string): number {
  let previous = Array.from({ length: right.length + 1 }, (_, index) => index);
  [...left].forEach((leftCharacter, leftIndex) => {
    const current = [leftIndex + 1];
    [...right].forEach((rightCharacter, rightIndex) => {
      const replaced = (previous[rightIndex] ?? 0) + (leftCharacter === rightCharacter ? 0 : 1);
      const deleted = (previous[rightIndex + 1] ?? 0) + 1;
      const inserted = (current[rightIndex] ?? 0) + 1;
      current.push(Math.min(replaced, deleted, inserted));
    });
    previous = current;
  });
  return previous[previous.length - 1] ?? 0;
}

/**
 * Finds the name that was probably meant.
 *
 * @param name - what was written
 * @param candidates - the names that exist
 * @returns the nearest candidate, or null when none is near
 */
export function findNearestName(name: string, candidates: readonly string[]): string | null {
  const ranked = candidates
    .map((candidate) => ({
      candidate,
      distance: getEditDistance(name.toLowerCase(), candidate.toLowerCase()),
    }))
    .sort((left, right) => left.distance - right.distance);
  const [best] = ranked;
  if (best === undefined) {
    return null;
  }
  const limit = Math.max(name.length, best.candidate.length) * MAX_DISTANCE_RATIO;
  return best.distance <= limit ? best.candidate : null;
}
