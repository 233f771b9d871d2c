import TinyQueue from 'tinyqueue';

interface DueEntry<Id> {
  readonly atMs: number;
  readonly id: Id;
}

/** Priority queue of ids by due time; an entry can't be removed before it is due. */
export class DueQueue<Id> {
  readonly #entries = new TinyQueue<DueEntry<Id>>([], (a, b) => a.atMs - b.atMs);

  /**
   * @param id - the id to queue
   * @param atMs - due time on the monotonic clock
   */
  add(id: Id, atMs: number): void {
    this.#entries.push({ id, atMs });
  }

  /**
   * Removes the next id that is due.
   *
   * @param nowMs - the current monotonic time
   * @returns the id, or null when nothing is due
   */
  takeDue(nowMs: number): Id | null {
    const first = this.#entries.peek();
    if (first === undefined || first.atMs > nowMs) {
      return null;
    }
    this.#entries.pop();
    return first.id;
  }

  /**
   * @returns due time of the next entry; Infinity for none
   */
  getNextWakeMs(): number {
    return this.#entries.peek()?.atMs ?? Infinity;
  }
}
