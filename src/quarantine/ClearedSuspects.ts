import { getEra, getUnbound, type EraBound } from '../directory/EraBound.ts';
import type { SuspectId } from './SuspectId.ts';

/** Crashes that no longer count against a suspect, since it was answered after them. */
interface ClearedSuspect {
  /** Revision of the newest record of an answer in the store; 0 for none. */
  readonly revision: EraBound;
  /** Crashes from before the answer, which don't count even when they are reported again. */
  readonly crashIds: ReadonlySet<string>;
  /** How many of these crashes hosts count that know of the records only. */
  readonly unrecordedCount: number;
}

/** Maximum number of suspects; the one cleared least recently is evicted first. */
const MAX_CLEARED = 10_000;
/** Maximum number of crashes kept for one suspect; the oldest are dropped first. */
const MAX_CRASHES = 256;
/** Revision of a record that doesn't exist. */
const NO_REVISION: EraBound = 0;

/** Whether two revisions are of one record, which a copy of the store has in a later era. */
function isSameRecord(known: EraBound, revision: EraBound): boolean {
  return getEra(known) !== getEra(revision) && getUnbound(known) === getUnbound(revision);
}

/** Remembers answers to suspects, so that crashes from before them are not counted again. */
export class ClearedSuspects {
  readonly #cleared = new Map<SuspectId, ClearedSuspect>();

  /**
   * @param id - a suspect
   * @param revision - revision of a record
   * @returns whether an answer was recorded after it
   */
  isClearedSince(id: SuspectId, revision: EraBound): boolean {
    const cleared = this.#cleared.get(id);
    return cleared !== undefined && revision < cleared.revision;
  }

  /**
   * @param id - a suspect
   * @param crashId - a crash at which it was
   * @returns whether the suspect was answered after the crash
   */
  hasCrash(id: SuspectId, crashId: string): boolean {
    return this.#cleared.get(id)?.crashIds.has(crashId) === true;
  }

  /**
   * @param id - a suspect
   * @param revision - revision of a record of an answer
   * @returns whether the record is known, from an earlier era of the store
   */
  isKnownRecord(id: SuspectId, revision: EraBound): boolean {
    const cleared = this.#cleared.get(id);
    return cleared !== undefined && isSameRecord(cleared.revision, revision);
  }

  /**
   * @param id - a suspect
   * @returns number of its crashes that hosts without answers of their own still count
   */
  getUnrecordedCount(id: SuspectId): number {
    return this.#cleared.get(id)?.unrecordedCount ?? 0;
  }

  /**
   * Adds an answer.
   *
   * @param id - the suspect that was answered
   * @param revision - revision of the record in the store; 0 for an answer received by this host
   * @param crashIds - its crashes since the previous answer
   */
  add(id: SuspectId, revision: EraBound, crashIds: readonly string[]): void {
    const known = this.#cleared.get(id);
    this.#cleared.delete(id);
    this.#cleared.set(id, {
      revision: Math.max(revision, known?.revision ?? NO_REVISION),
      crashIds: new Set([...known?.crashIds ?? [], ...crashIds].slice(-MAX_CRASHES)),
      unrecordedCount: revision > 0 ? 0 : (known?.unrecordedCount ?? 0) + crashIds.length,
    });
    const [oldest] = this.#cleared.keys();
    if (oldest !== undefined && this.#cleared.size > MAX_CLEARED) {
      this.#cleared.delete(oldest);
    }
  }

  /** @param id - a suspect whose answer this host is about to record in the store */
  markRecorded(id: SuspectId): void {
    const known = this.#cleared.get(id);
    if (known !== undefined) {
      this.#cleared.set(id, { ...known, unrecordedCount: 0 });
    }
  }
}
