import type { SuspectId } from './SuspectId.ts';

/** Maximum number of suspects that are remembered; the one answered least recently goes first. */
const MAX_ANSWERED = 10_000;

/** Remembers which suspects were ever answered, as far as this host knows. */
export class AnsweredSuspects {
  readonly #ids = new Set<SuspectId>();

  /** @param id - a suspect that was answered */
  add(id: SuspectId): void {
    this.#ids.delete(id);
    this.#ids.add(id);
    const [oldest] = this.#ids;
    if (oldest !== undefined && this.#ids.size > MAX_ANSWERED) {
      this.#ids.delete(oldest);
    }
  }

  /**
   * @param id - a suspect
   * @returns whether it was answered
   */
  has(id: SuspectId): boolean {
    return this.#ids.has(id);
  }
}
