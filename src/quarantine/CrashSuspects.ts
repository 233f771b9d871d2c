import type { SuspectId } from './SuspectId.ts';

/** Maximum number of crashes that are kept. */
const MAX_CRASHES = 1_000;

/** Remembers everything that was at an upstream when it crashed, at any host. */
export class CrashSuspects {
  readonly #suspects = new Map<string, Set<SuspectId>>();

  /**
   * Adds the suspects that one host reports.
   *
   * @param crashId - the crash
   * @param suspectIds - what the host had running there
   */
  add(crashId: string, suspectIds: readonly SuspectId[]): void {
    const known = this.#suspects.get(crashId) ?? new Set();
    suspectIds.forEach((suspectId) => known.add(suspectId));
    this.#suspects.set(crashId, known);
    const [oldest] = this.#suspects.keys();
    if (oldest !== undefined && this.#suspects.size > MAX_CRASHES) {
      this.#suspects.delete(oldest);
    }
  }

  /**
   * @param crashId - a crash
   * @returns its suspects, of all hosts
   */
  get(crashId: string): readonly SuspectId[] {
    return [...this.#suspects.get(crashId) ?? []];
  }
}
