/** An unordered list of unique items with insertion, removal and access by position in O(1). */
export class IndexedList<T> {
  readonly #items: T[] = [];

  readonly #indexes = new Map<T, number>();

  /** Number of items. */
  get size(): number {
    return this.#items.length;
  }

  /** The items, in no particular order. */
  get items(): readonly T[] {
    return this.#items;
  }

  /**
   * @param item - the item to look up
   * @returns whether the list contains the item
   */
  has(item: T): boolean {
    return this.#indexes.has(item);
  }

  /**
   * Adds or removes an item.
   *
   * @param item - the item
   * @param isInside - whether the list must contain the item
   */
  set(item: T, isInside: boolean): void {
    if (isInside) {
      this.#add(item);
    } else {
      this.#remove(item);
    }
  }

  #add(item: T): void {
    if (!this.#indexes.has(item)) {
      this.#indexes.set(item, this.#items.length);
      this.#items.push(item);
    }
  }

  #remove(item: T): void {
    const index = this.#indexes.get(item);
    if (index === undefined) {
      return;
    }
    const last = this.#items.pop() as T;
    this.#indexes.delete(item);
    if (last !== item) {
      this.#items[index] = last;
      this.#indexes.set(last, index);
    }
  }
}
