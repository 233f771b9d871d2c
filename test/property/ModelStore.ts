import type { DirectoryChange } from '../../src/directory/DirectoryChange.ts';

/** Store of the model: a list of changes; the revision is the number of changes. */
export class ModelStore {
  readonly changes: DirectoryChange[] = [];

  readonly writtenAtMs: number[] = [];

  /** Number of calls by all hosts. */
  callCount = 0;

  /**
   * Appends a change.
   *
   * @param change - the change
   * @param nowMs - the current time
   */
  write(change: DirectoryChange, nowMs: number): void {
    this.changes.push(change);
    this.writtenAtMs.push(nowMs);
  }
}
