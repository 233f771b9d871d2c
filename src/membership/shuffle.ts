import type { RandomSource } from '../lib/RandomSource.ts';

/**
 * Shuffles items by the Fisher-Yates algorithm.
 *
 * @param items - the items, which are not changed
 * @param random - the random source
 * @returns the items in random order
 */
export function shuffle<Item>(items: readonly Item[], random: RandomSource): Item[] {
  const shuffled = [...items];
  for (let last = shuffled.length - 1; last > 0; last -= 1) {
    const other = Math.floor(random.getFraction() * (last + 1));
    const item = shuffled[last] as Item;
    shuffled[last] = shuffled[other] as Item;
    shuffled[other] = item;
  }
  return shuffled;
}
