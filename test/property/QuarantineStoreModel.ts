import type { DirectoryChange } from '../../src/directory/DirectoryChange.ts';
import type { RenewResult } from '../../src/directory/DirectoryStore.ts';
import type { HostId } from '../../src/lib/ids.ts';
import type {
  CrashReport, QuarantineStore, TrialRecord,
} from '../../src/quarantine/QuarantineStore.ts';

/** A change with the revision at which it came. */
export interface ModelRecord {
  readonly key: string;
  readonly revision: number;
  readonly change: DirectoryChange;
}

/** The store as the quarantine uses it: records under revisions, which hosts read later. */
export class QuarantineStoreModel implements QuarantineStore {
  /** All changes in their order. */
  readonly history: ModelRecord[] = [];

  /** What stands now. */
  readonly #records = new Map<string, ModelRecord>();

  isDown = false;

  writeCount = 0;

  async createLease(): Promise<number> {
    this.#assertUp();
    return 1;
  }

  async writeCrash(report: CrashReport, hostId: HostId): Promise<RenewResult> {
    this.#assertUp();
    this.#write(`crashes/${report.crashId}/${hostId}`, (revision) => ({
      kind: 'crashRecorded', report, hostId, revision,
    }));
    return 'renewed';
  }

  async writeCleared(fingerprint: string): Promise<RenewResult> {
    this.#assertUp();
    if (this.#records.delete(`trials/${fingerprint}`)) {
      this.#append(`trials/${fingerprint}`, () => ({ kind: 'trialsForgotten', fingerprint }));
    }
    this.#write(`cleared/${fingerprint}`, (revision) => ({
      kind: 'requestCleared', fingerprint, revision,
    }));
    return 'renewed';
  }

  async writeTrials({
    fingerprint, trialCount, expectedRevision: knownRevision,
  }: TrialRecord): Promise<number | null> {
    this.#assertUp();
    const key = `trials/${fingerprint}`;
    if ((this.#records.get(key)?.revision ?? 0) !== knownRevision) {
      return null;
    }
    return this.#write(key, (revision) => ({
      kind: 'requestTried', fingerprint, trialCount, revision,
    }));
  }

  /** @returns what stands now, in the order of the keys */
  getSnapshot(): ModelRecord[] {
    return [...this.#records.values()].sort((left, right) => (left.key < right.key ? -1 : 1));
  }

  #write(key: string, createChange: (revision: number) => DirectoryChange): number {
    const record = this.#append(key, createChange);
    this.#records.set(key, record);
    return record.revision;
  }

  #append(key: string, createChange: (revision: number) => DirectoryChange): ModelRecord {
    const revision = this.history.length + 1;
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
