import type { ChangeLogResult } from './ChangeLog.ts';
import type { KnownHost } from './HostEntry.ts';

/** Path at which a reader gives its changes to other hosts. */
export const DIRECTORY_PATH = '/directory-changes';

/** What a reader tells a host that follows it. */
export type PeerChanges = ChangeLogResult & {
  /** How long ago the store confirmed what the reader knows. */
  readonly ageMs: number;
};

/** Other hosts, as the follower of the directory asks them. */
export interface DirectoryPeers {
  /**
   * @param reader - who is asked
   * @param revision - the last one that is known here
   * @param waitMs - how long it may wait for changes
   * @returns what has changed
   * @throws Error when it gives no answer, or has lost the store itself
   */
  follow(reader: KnownHost, revision: number, waitMs: number): Promise<PeerChanges>;
}
