import TinyQueue from 'tinyqueue';

interface DueEntry<Id> {
  readonly atMs: number;
  readonly id: Id;
}

/** Ids ordered by the time at which they fall due; an entry stays in until then. */
export class DueQueue<Id> {
  readonly #entries = new TinyQueue<DueEntry<Id>>([], (a, b) => a.atMs - b.atMs);

  /**
   * @param id - what falls due
   * @param atMs - when, on the monotonic clock
   */
  add(id: Id, atMs: number): void {
    this.#entries.push({ id, atMs });
  }

  /**
   * Takes the next id that is due.
   *
   * @param nowMs - the present time
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
   * @returns when the next entry falls due; Infinity for none
   */
  getNextWakeMs(): number {
    return this.#entries.peek()?.atMs ?? Infinity;
  }
}
