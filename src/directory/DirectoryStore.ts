import type { DirectoryChange } from './DirectoryChange.ts';
import type { EraBound } from './EraBound.ts';
import type { HostEntry } from './HostEntry.ts';
import type { ServingConfiguration } from './ServingConfiguration.ts';
import type { RenewResult, StoreLease } from './StoreLease.ts';

/** Whole content of the store at about one revision. */
export interface DirectorySnapshot {
  readonly changes: readonly DirectoryChange[];
  /** Revision after which changes are to be followed. */
  readonly revision: EraBound;
}

/** Result of a wait for changes. */
export type FollowResult =
  | {
    readonly kind: 'changes';
    readonly changes: readonly DirectoryChange[];
    readonly revision: EraBound;
    /**
     * The changes but those of the configuration in the store's encoding, for `decodeChanges` at
     * another host; null for none.
     */
    readonly payload: string | null;
    /** The newest of the changes of the configuration, encoded alike; null for none. */
    readonly configurationPayload: string | null;
  }
  /** The store came back from an older copy; its revisions are those of another era. */
  | { readonly kind: 'eraChanged'; readonly era: number }
  /** The store no longer has the requested history. */
  | { readonly kind: 'historyLost' };

/**
 * Shared store of the configuration and of the entries of upstreams and hosts. Every method rejects
 * with an `Error` when the store gives no usable answer; a write may then have taken effect.
 */
export interface DirectoryStore {
  /** @returns the whole content of the store */
  readAll(): Promise<DirectorySnapshot>;
  /**
   * Waits for the next changes, for a limited time.
   *
   * @param revision - the last known revision
   * @param waitMs - the longest wait
   * @returns the changes; none when the wait timed out
   */
  follow(revision: EraBound, waitMs: number): Promise<FollowResult>;
  /**
   * @param payload - changes that another host received from the store
   * @param revision - the revision that they lead to
   * @returns the decoded changes
   */
  decodeChanges(payload: string, revision: EraBound): readonly DirectoryChange[];
  /**
   * @param encoded - a configuration as another host has it from the store
   * @returns the configuration
   * @throws Error when it can't be decoded
   */
  decodeConfiguration(encoded: string): ServingConfiguration;
  /**
   * @param ttlMs - time after which the lease expires unless it is renewed
   * @returns the lease
   */
  createLease(ttlMs: number): Promise<StoreLease>;
  /**
   * @param lease - the lease
   * @returns whether the lease is still valid
   */
  renewLease(lease: StoreLease): Promise<RenewResult>;
  /** @param lease - the lease; the store deletes the entries written under it */
  endLease(lease: StoreLease): Promise<void>;
  /**
   * Writes a host's entry, which exists until the lease ends.
   *
   * @param entry - the entry
   * @param lease - the lease
   * @returns whether the lease is still valid
   */
  writeHost(entry: HostEntry, lease: StoreLease): Promise<RenewResult>;
  /**
   * Records the largest number of hosts, unless another host has changed the record meanwhile.
   *
   * @param count - the number of hosts
   * @param knownRevision - the revision of the record to replace; 0 when there is none
   */
  recordHostCount(count: number, knownRevision: EraBound): Promise<void>;
}
