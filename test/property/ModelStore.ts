import type { DirectoryChange } from '../../src/directory/DirectoryChange.ts';

/** The store of the model: a list of changes whose places are their revisions. */
export class ModelStore {
  readonly changes: DirectoryChange[] = [];

  readonly writtenAtMs: number[] = [];

  /** Calls of all hosts. */
  callCount = 0;

  /**
   * @param change - what is written
   * @param nowMs - the time
   */
  write(change: DirectoryChange, nowMs: number): void {
    this.changes.push(change);
    this.writtenAtMs.push(nowMs);
  }
}
