/**
 * Runs tasks one after the other.
 *
 * @param items - what the tasks are for
 * @param run - one task
 * @returns the results in the order of the items
 */
export async function runSequentially<Item, Result>(
  items: readonly Item[],
  run: (item: Item, index: number) => Promise<Result>,
): Promise<Result[]> {
  return items.reduce<Promise<Result[]>>(
    async (earlier, item, index) => [...await earlier, await run(item, index)],
    Promise.resolve([]),
  );
}
