import type { DirectoryChange } from './DirectoryChange.ts';
import type { HostEntry } from './HostEntry.ts';

/** All that stands in the store at about one revision. */
export interface DirectorySnapshot {
  readonly changes: readonly DirectoryChange[];
  /** Revision from which to follow. */
  readonly revision: number;
}

/** What a wait for changes brought. */
export type FollowResult =
  | {
    readonly kind: 'changes';
    readonly changes: readonly DirectoryChange[];
    readonly revision: number;
    /** The changes as the store gave them, for `decodeChanges` at another host. */
    readonly payload: string;
  }
  /** The store no longer has the history that was asked for. */
  | { readonly kind: 'historyLost' };

/** What renewing a lease came to. */
export type RenewResult = 'renewed' | 'ended';

/**
 * Where configuration, upstreams and hosts are written down for everybody. Every method rejects
 * with an `Error` when the store gives no usable answer; a write may then have taken effect.
 */
export interface DirectoryStore {
  /** @returns everything that stands there now */
  readAll(): Promise<DirectorySnapshot>;
  /**
   * Waits until something changes, for a while.
   *
   * @param revision - the last revision that is known
   * @param waitMs - how long to wait at most
   * @returns the changes; none when the wait ran out
   */
  follow(revision: number, waitMs: number): Promise<FollowResult>;
  /**
   * @param payload - changes that another host got from the store
   * @returns the changes
   */
  decodeChanges(payload: string): readonly DirectoryChange[];
  /**
   * @param ttlMs - how long the lease lasts without renewal
   * @returns the lease's id
   */
  createLease(ttlMs: number): Promise<number>;
  /**
   * @param leaseId - the lease
   * @returns whether it still stands
   */
  renewLease(leaseId: number): Promise<RenewResult>;
  /** @param leaseId - the lease; what was written under it goes with it */
  endLease(leaseId: number): Promise<void>;
  /**
   * Writes a host's entry for as long as the lease lasts.
   *
   * @param entry - the entry
   * @param leaseId - the lease
   * @returns whether the lease still stands
   */
  writeHost(entry: HostEntry, leaseId: number): Promise<RenewResult>;
  /**
   * Records how many hosts there were, unless another host has done so meanwhile.
   *
   * @param count - the number of hosts
   * @param knownRevision - the revision of the record that it replaces; 0 for none
   */
  recordHostCount(count: number, knownRevision: number): Promise<void>;
}
