import type { SuspectId } from '../../src/quarantine/SuspectId.ts';
import type { DirectoryChange } from '../../src/directory/DirectoryChange.ts';
import { bindToEra, getUnbound, type EraBound } from '../../src/directory/EraBound.ts';
import type { RenewResult, StoreLease } from '../../src/directory/StoreLease.ts';
import type { HostId } from '../../src/lib/ids.ts';
import type {
  CrashReport, QuarantineStore, TrialRecord,
} from '../../src/quarantine/QuarantineStore.ts';

/** Change with the revision at which it was written. */
export interface ModelRecord {
  readonly key: string;
  readonly revision: EraBound;
  readonly change: DirectoryChange;
}

/** Store of the quarantine: records with revisions, which hosts read with a delay. */
export class QuarantineStoreModel implements QuarantineStore {
  /** All changes in the order of their revisions. */
  readonly history: ModelRecord[] = [];

  /** Current records by key. */
  readonly #records = new Map<string, ModelRecord>();

  isDown = false;

  /** Rises each time the store comes back from a copy. */
  era = 1;

  writeCount = 0;

  async createLease(): Promise<StoreLease> {
    this.#assertUp();
    return { era: 1, id: 1 };
  }

  async writeCrash(report: CrashReport, hostId: HostId): Promise<RenewResult> {
    this.#assertUp();
    this.#write(`crashes/${report.crashId}/${hostId}`, (revision) => ({
      kind: 'crashRecorded', report, hostId, revision,
    }));
    return 'renewed';
  }

  async writeCleared(suspectId: SuspectId): Promise<RenewResult> {
    this.#assertUp();
    if (this.#records.delete(`trials/${suspectId}`)) {
      this.#append(`trials/${suspectId}`, () => ({ kind: 'trialsForgotten', suspectId }));
    }
    this.#write(`cleared/${suspectId}`, (revision) => ({
      kind: 'suspectCleared', suspectId, revision,
    }));
    return 'renewed';
  }

  async writeTrials({
    suspectId, trialCount, expectedRevision: knownRevision,
  }: TrialRecord): Promise<EraBound | null> {
    this.#assertUp();
    const key = `trials/${suspectId}`;
    if ((this.#records.get(key)?.revision ?? 0) !== knownRevision) {
      return null;
    }
    return this.#write(key, (revision) => ({
      kind: 'suspectTried', suspectId, trialCount, revision,
    }));
  }

  /**
   * Comes back from a copy that lacks the newest changes.
   *
   * @param lostCount - number of changes that are lost
   */
  restore(lostCount: number): void {
    this.history.splice(Math.max(0, this.history.length - lostCount));
    this.era += 1;
    this.#records.clear();
    this.history.forEach(({ key, revision, change }) => {
      if (change.kind === 'trialsForgotten') {
        this.#records.delete(key);
        return;
      }
      const current = bindToEra(this.era, getUnbound(revision));
      this.#records.set(key, {
        key, revision: current, change: { ...change, revision: current } as DirectoryChange,
      });
    });
  }

  /** @returns the current records, sorted by key */
  getSnapshot(): ModelRecord[] {
    return [...this.#records.values()].sort((left, right) => (left.key < right.key ? -1 : 1));
  }

  #write(key: string, createChange: (revision: EraBound) => DirectoryChange): EraBound {
    const record = this.#append(key, createChange);
    this.#records.set(key, record);
    return record.revision;
  }

  #append(key: string, createChange: (revision: EraBound) => DirectoryChange): ModelRecord {
    const revision = bindToEra(this.era, this.history.length + 1);
    const record = { key, revision, change: createChange(revision) };
    this.history.push(record);
    return record;
  }

  #assertUp(): void {
    this.writeCount += 1;
    if (this.isDown) {
      throw new Error('the store is down');
    }
  }
}
