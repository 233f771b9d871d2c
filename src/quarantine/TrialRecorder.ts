import type { Logger } from 'pino';
import type { RandomSource } from '../lib/RandomSource.ts';
import { scheduleTimer, type Schedule } from '../time/scheduleTimer.ts';
import type { DueTrial } from './combineDecisions.ts';
import type { QuarantineStore } from './QuarantineStore.ts';
import type { SuspectId } from './SuspectId.ts';
import type { LostTrials, SuspectTable } from './SuspectTable.ts';
import type { Trial } from './Trial.ts';

/** Options of a {@link TrialRecorder}. */
export interface TrialRecorderOptions {
  readonly table: SuspectTable;
  readonly store: QuarantineStore;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Logs a change of a suspect's state. */
  readonly log: (
    outcome: string,
    suspectId: SuspectId,
    details: Readonly<Record<string, unknown>>,
  ) => void;
  /** Called when a trial is given back, so that another one may begin. */
  readonly onGivenBack: () => void;
  /** Runs an action after a delay; replaced in tests. */
  readonly schedule?: Schedule;
}

/** Longest delay before trial counts are written again that the store has lost. */
const MAX_RESTORE_DELAY_MS = 1_000;

/** Records trials in the store, where one host of all may take each. */
export class TrialRecorder {
  readonly #options: TrialRecorderOptions;

  #isClosed = false;

  /**
   * @param options - see {@link TrialRecorderOptions}
   */
  constructor(options: TrialRecorderOptions) {
    this.#options = options;
  }

  /**
   * Records the trial of one or more suspects, unless another host was first for one.
   *
   * @param trials - the suspects
   * @param requestId - identifies the caller's request in the log
   * @returns the trial; null when another host was first
   */
  async take(
    trials: readonly DueTrial[],
    requestId: string,
  ): Promise<Trial | null> {
    const taken: SuspectId[] = [];
    for (let index = 0; index < trials.length; index += 1) {
      const due = trials[index];
      // eslint-disable-next-line no-await-in-loop -- a trial that another host has ends the series
      if (due !== undefined && !await this.#takeTrial(due, requestId)) {
        taken.forEach((suspectId) => this.giveBack(suspectId));
        return null;
      }
      taken.push(...due === undefined ? [] : [due.id]);
    }
    return { suspectIds: taken };
  }

  async #takeTrial(due: DueTrial, requestId: string): Promise<boolean> {
    const { table, store, log } = this.#options;
    const { id } = due;
    const trialCount = due.trialCount + 1;
    try {
      const revision = await store.writeTrials({
        suspectId: id,
        trialCount,
        expectedRevision: due.revision,
        evictedId: table.getOldestTrial(),
      });
      log('trialTaken', id, { requestId, trialCount, revision });
      if (revision === null) {
        table.recordRemoteTrial(id);
        return false;
      }
      table.setTrialCount(id, trialCount, revision);
      return true;
    } catch (error) {
      // A host without access to the store relies on its own trial count.
      log('trialAlone', id, { requestId, trialCount, error: String(error) });
      if (table.getDecision(id).kind !== 'trialDue') {
        return false;
      }
      table.adjustTrialCount(id, 1);
      return true;
    }
  }

  /**
   * Returns a trial whose request was not run, so that it does not count.
   *
   * @param suspectId - the suspect on trial
   */
  giveBack(suspectId: SuspectId): void {
    const {
      table, store, log, onGivenBack,
    } = this.#options;
    const revision = table.getTrialRevision(suspectId);
    const trialCount = table.getTrialCount(suspectId) - 1;
    if (trialCount < 0) {
      return;
    }
    store.writeTrials({
      suspectId, trialCount, expectedRevision: revision, evictedId: null,
    }).then((newRevision) => {
      log('trialReturned', suspectId, { trialCount, revision: newRevision });
      if (newRevision !== null) {
        table.setTrialCount(suspectId, trialCount, newRevision);
        onGivenBack();
      }
    }).catch((error: unknown) => {
      log('trialReturnedAlone', suspectId, { trialCount, error: String(error) });
      table.adjustTrialCount(suspectId, -1);
      onGivenBack();
    });
  }

  /** Stops restoring trial counts. */
  close(): void {
    this.#isClosed = true;
  }

  /** Writes trial counts again after a random delay, so that one host writes what all know. */
  scheduleRestore(): void {
    const { schedule = scheduleTimer, random } = this.#options;
    schedule(random.getFraction() * MAX_RESTORE_DELAY_MS, () => this.#restoreTrials());
  }

  /** Writes the trial counts again that a store which came back from an older copy has lost. */
  #restoreTrials(): void {
    if (this.#isClosed) {
      return;
    }
    const writes = this.#options.table.getLostTrials().map((trials) => this.#restoreTrial(trials));
    Promise.all(writes).catch((error: unknown) => {
      this.#options.logger.info(
        { event: 'trialsNotRestored', error: String(error) },
        'writing trial counts again failed; retrying',
      );
      this.scheduleRestore();
    });
  }

  async #restoreTrial({ suspectId, trialCount, revision }: LostTrials): Promise<void> {
    const newRevision = await this.#options.store.writeTrials({
      suspectId, trialCount, expectedRevision: revision, evictedId: null,
    });
    this.#options.log('trialsRestored', suspectId, { trialCount, revision: newRevision });
    // Without a revision another host was first, whose record arrives as a change.
    if (newRevision !== null) {
      this.#options.table.setTrialCount(suspectId, trialCount, newRevision);
    }
  }
}
