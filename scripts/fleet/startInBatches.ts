/**
 * Starts things a few at a time, so that their start does not overload the machine.
 *
 * @param items - what to start
 * @param batchSize - how many start together
 * @param start - starts one
 * @returns the started things, in the order of the items
 */
export async function startInBatches<Item, Started>(
  items: readonly Item[],
  batchSize: number,
  start: (item: Item) => Promise<Started>,
): Promise<Started[]> {
  if (items.length === 0) {
    return [];
  }
  const first = await Promise.all(items.slice(0, batchSize).map(start));
  const rest = await startInBatches(items.slice(batchSize), batchSize, start);
  return [...first, ...rest];
}
