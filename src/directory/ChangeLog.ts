import { getEra, type EraBound } from './EraBound.ts';

/** Changes from one answer of the store, in its encoding. */
interface ChangeBatch {
  /** Revision before the changes. */
  readonly fromRevision: EraBound;
  readonly toRevision: EraBound;
  readonly payload: string | null;
  /** The configuration; null when it is unchanged, or a later batch has a newer one. */
  configurationPayload: string | null;
}

/** Changes of one answer of the store, in its encoding. */
export interface EncodedChanges {
  /** All changes but those of the configuration; null for none. */
  readonly payload: string | null;
  /** The newest version of the configuration; null when it is unchanged. */
  readonly configurationPayload: string | null;
}

/** Changes since a revision. */
export type ChangeLogResult =
  | {
    readonly kind: 'changes';
    readonly revision: EraBound;
    /** Batches in order; empty when nothing has changed. */
    readonly payloads: readonly string[];
  }
  /** The log does not reach back to the revision, or follows another era of the store. */
  | { readonly kind: 'gap'; readonly era: number | null };

/** Number of batches that are kept; a host that needs older ones reads the store itself. */
const MAX_BATCH_COUNT = 64;

/** Keeps the newest changes of the store for hosts that follow this host. */
export class ChangeLog {
  #batches: ChangeBatch[] = [];

  #firstRevision: EraBound | null = null;

  #lastRevision: EraBound | null = null;

  readonly #waiters = new Set<() => void>();

  /** @param revision - the current revision; earlier changes are not available */
  reset(revision: EraBound): void {
    this.#batches = [];
    this.#firstRevision = revision;
    this.#lastRevision = revision;
    this.#wakeWaiters();
  }

  /**
   * Appends the changes of one answer.
   *
   * @param fromRevision - the revision before the changes
   * @param toRevision - the revision after the changes
   * @param changes - the changes; each configuration replaces the one before, as a configuration is
   * large and every follower gets it
   */
  append(
    fromRevision: EraBound,
    toRevision: EraBound,
    { payload, configurationPayload }: EncodedChanges,
  ): void {
    if (this.#lastRevision !== fromRevision) {
      this.reset(fromRevision);
    }
    this.#lastRevision = toRevision;
    if (payload === null && configurationPayload === null) {
      return;
    }
    if (configurationPayload !== null) {
      this.#batches.forEach((batch) => {
        batch.configurationPayload = null;
      });
    }
    this.#batches.push({
      fromRevision, toRevision, payload, configurationPayload,
    });
    while (this.#batches.length > MAX_BATCH_COUNT) {
      this.#firstRevision = this.#batches.shift()?.toRevision ?? this.#firstRevision;
    }
    this.#wakeWaiters();
  }

  /**
   * @param revision - the last one that the requesting host knows
   * @returns the changes since then
   */
  getSince(revision: EraBound): ChangeLogResult {
    if (this.#firstRevision === null || this.#lastRevision === null) {
      return { kind: 'gap', era: null };
    }
    const era = getEra(this.#lastRevision);
    if (revision < this.#firstRevision || getEra(revision) !== era) {
      return { kind: 'gap', era };
    }
    return {
      kind: 'changes',
      revision: Math.max(revision, this.#lastRevision),
      payloads: this.#batches
        .filter(({ toRevision }) => toRevision > revision)
        .flatMap(({ payload, configurationPayload }) => [configurationPayload, payload])
        .filter((payload) => payload !== null),
    };
  }

  /**
   * Waits for changes after a revision.
   *
   * @param revision - the last one that the requesting host knows
   * @param waitMs - the longest wait
   * @returns when there are changes or a gap, or the wait timed out
   */
  async waitForChangesAfter(revision: EraBound, waitMs: number): Promise<void> {
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
