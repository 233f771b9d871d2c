/**
 * Starts items in batches, so that concurrent starts do not overload the machine.
 *
 * @param items - the items to start
 * @param batchSize - number of items that start concurrently
 * @param start - starts one item
 * @returns the results of `start`, in the order of the items
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
