/**
 * A binary heap that finds an item's place, so that it can be moved or removed in O(log n). Items
 * are compared by identity.
 */
export class IndexedHeap<T> {
  readonly #items: T[] = [];

  readonly #indexes = new Map<T, number>();

  readonly #compare: (left: T, right: T) => number;

  /**
   * @param compare - negative when `left` comes first; must be stable while an item is inside
   */
  constructor(compare: (left: T, right: T) => number) {
    this.#compare = compare;
  }

  /** Number of items. */
  get size(): number {
    return this.#items.length;
  }

  /**
   * @returns the first item, which stays inside; undefined when empty
   */
  peek(): T | undefined {
    return this.#items[0];
  }

  /**
   * @param item - what to look for
   * @returns whether it is inside
   */
  has(item: T): boolean {
    return this.#indexes.has(item);
  }

  /**
   * Adds an item, or moves it after a change of its order.
   *
   * @param item - the item
   */
  push(item: T): void {
    const known = this.#indexes.get(item);
    if (known === undefined) {
      this.#setItem(item, this.#items.length);
    }
    this.#restoreOrder(known ?? this.#items.length - 1);
  }

  /**
   * Takes the first item out.
   *
   * @returns the item; undefined when empty
   */
  pop(): T | undefined {
    const first = this.#items[0];
    if (first !== undefined) {
      this.remove(first);
    }
    return first;
  }

  /**
   * Takes an item out.
   *
   * @param item - the item
   * @returns whether it was inside
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
