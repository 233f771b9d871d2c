import type { RandomSource } from '../lib/RandomSource.ts';

/**
 * @param items - what to order
 * @param random - the randomness
 * @returns the items in random order (Fisher-Yates)
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
