/** Lease in the store. Its id may belong to another host's lease in another era. */
export interface StoreLease {
  /** Era of the store that created the lease. */
  readonly era: number;
  readonly id: number;
}

/** Result of a call under a lease. */
export type RenewResult = 'renewed' | 'ended';
