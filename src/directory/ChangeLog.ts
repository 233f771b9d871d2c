/** Changes that the store gave in one answer, as they came. */
interface ChangeBatch {
  /** Revision that the changes follow. */
  readonly fromRevision: number;
  readonly toRevision: number;
  readonly payload: string;
}

/** What has changed since a revision. */
export type ChangeLogResult =
  | {
    readonly kind: 'changes';
    readonly revision: number;
    /** Batches in their order; none when nothing has changed. */
    readonly payloads: readonly string[];
  }
  /** The log does not reach back to the revision. */
  | { readonly kind: 'gap' };

/** Batches that are kept; who lags behind more reads the store itself. */
const MAX_BATCH_COUNT = 64;

/** The newest changes of the store, kept for hosts that follow this one. */
export class ChangeLog {
  #batches: ChangeBatch[] = [];

  #firstRevision: number | null = null;

  #lastRevision: number | null = null;

  readonly #waiters = new Set<() => void>();

  /** @param revision - what is known stands at this revision; earlier changes are not known */
  reset(revision: number): void {
    this.#batches = [];
    this.#firstRevision = revision;
    this.#lastRevision = revision;
    this.#wakeWaiters();
  }

  /**
   * @param fromRevision - the revision that was known
   * @param toRevision - the revision that is known now
   * @param payload - the changes between, as the store gave them; null when there are none
   */
  append(fromRevision: number, toRevision: number, payload: string | null): void {
    if (this.#lastRevision !== fromRevision) {
      this.reset(fromRevision);
    }
    this.#lastRevision = toRevision;
    if (payload === null) {
      return;
    }
    this.#batches.push({ fromRevision, toRevision, payload });
    while (this.#batches.length > MAX_BATCH_COUNT) {
      this.#firstRevision = this.#batches.shift()?.toRevision ?? this.#firstRevision;
    }
    this.#wakeWaiters();
  }

  /**
   * @param revision - the last one that the asking host knows
   * @returns what has changed since
   */
  getSince(revision: number): ChangeLogResult {
    if (this.#firstRevision === null || this.#lastRevision === null
      || revision < this.#firstRevision) {
      return { kind: 'gap' };
    }
    return {
      kind: 'changes',
      revision: Math.max(revision, this.#lastRevision),
      payloads: this.#batches
        .filter(({ toRevision }) => toRevision > revision)
        .map(({ payload }) => payload),
    };
  }

  /**
   * Waits for changes.
   *
   * @param revision - the last one that the asking host knows
   * @param waitMs - how long at most
   * @returns when there is something to tell, or the time is up
   */
  async waitForChangesAfter(revision: number, waitMs: number): Promise<void> {
    const result = this.getSince(revision);
    if (result.kind === 'gap' || result.payloads.length > 0) {
      return;
    }
    await new Promise<void>((resolve) => {
      const end = (): void => {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- set before it is read
        clearTimeout(timer);
        this.#waiters.delete(end);
        resolve();
      };
      const timer = setTimeout(end, waitMs);
      this.#waiters.add(end);
    });
  }

  /** Ends all waits. */
  close(): void {
    this.#wakeWaiters();
  }

  #wakeWaiters(): void {
    [...this.#waiters].forEach((end) => end());
  }
}
