import type { ChangeLogResult } from './ChangeLog.ts';
import type { EraBound } from './EraBound.ts';
import type { KnownHost } from './HostEntry.ts';

/** Path at which a reader serves its changes to other hosts, by revisions with their era. */
export const DIRECTORY_PATH = '/directory-changes/by-era';

/** Answer of a reader to a host that follows it. */
export type PeerChanges = ChangeLogResult & {
  /** Time since the store last confirmed that the reader is up to date. */
  readonly ageMs: number;
};

/** Requests directory changes from other hosts. */
export interface DirectoryPeers {
  /**
   * @param reader - the host to request from
   * @param revision - the last revision that this host knows
   * @param waitMs - the longest time that the reader may wait for changes
   * @returns the changes
   * @throws Error when the reader gives no answer, or has lost contact with the store
   */
  follow(reader: KnownHost, revision: EraBound, waitMs: number): Promise<PeerChanges>;
}
