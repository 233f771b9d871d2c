/**
 * A binary heap that indexes the positions of its items, so that an item can be moved or removed in
 * O(log n). Items are identified by reference.
 */
export class IndexedHeap<T> {
  readonly #items: T[] = [];

  readonly #indexes = new Map<T, number>();

  readonly #compare: (left: T, right: T) => number;

  /**
   * @param compare - negative when `left` comes first; the order of an item in the heap may change
   *   only if it is pushed again
   */
  constructor(compare: (left: T, right: T) => number) {
    this.#compare = compare;
  }

  /** Number of items. */
  get size(): number {
    return this.#items.length;
  }

  /**
   * Returns the first item without removing it.
   *
   * @returns the first item; undefined when empty
   */
  peek(): T | undefined {
    return this.#items[0];
  }

  /**
   * @param item - the item to look up
   * @returns whether the heap contains the item
   */
  has(item: T): boolean {
    return this.#indexes.has(item);
  }

  /**
   * Adds an item, or restores its position after its order has changed.
   *
   * @param item - the item to add or move
   */
  push(item: T): void {
    const knownIndex = this.#indexes.get(item);
    if (knownIndex === undefined) {
      this.#setItem(item, this.#items.length);
    }
    this.#restoreOrder(knownIndex ?? this.#items.length - 1);
  }

  /**
   * Removes the first item.
   *
   * @returns the removed item; undefined when empty
   */
  pop(): T | undefined {
    const first = this.#items[0];
    if (first !== undefined) {
      this.remove(first);
    }
    return first;
  }

  /**
   * Removes an item.
   *
   * @param item - the item to remove
   * @returns whether the heap contained the item
   */
  remove(item: T): boolean {
    const index = this.#indexes.get(item);
    if (index === undefined) {
      return false;
    }
    const last = this.#items.pop() as T;
    this.#indexes.delete(item);
    if (last !== item) {
      this.#setItem(last, index);
      this.#restoreOrder(index);
    }
    return true;
  }

  #setItem(item: T, index: number): void {
    this.#items[index] = item;
    this.#indexes.set(item, index);
  }

  #restoreOrder(index: number): void {
    this.#siftDown(this.#siftUp(index));
  }

  #siftUp(start: number): number {
    let index = start;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!this.#isBefore(index, parent)) {
        return index;
      }
      this.#swap(index, parent);
      index = parent;
    }
    return index;
  }

  #siftDown(start: number): void {
    let index = start;
    let child = this.#getFirstChild(index);
    while (child < this.#items.length && this.#isBefore(child, index)) {
      this.#swap(index, child);
      index = child;
      child = this.#getFirstChild(index);
    }
  }

  #getFirstChild(index: number): number {
    const left = 2 * index + 1;
    const right = left + 1;
    return right < this.#items.length && this.#isBefore(right, left) ? right : left;
  }

  #isBefore(left: number, right: number): boolean {
    return this.#compare(this.#items[left] as T, this.#items[right] as T) < 0;
  }

  #swap(left: number, right: number): void {
    const moved = this.#items[left] as T;
    this.#setItem(this.#items[right] as T, left);
    this.#setItem(moved, right);
  }
}
