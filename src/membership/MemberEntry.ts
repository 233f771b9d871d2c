import type { MemberRecord } from '../peers/PeerMessage.ts';

/** A member with what this host keeps about it for itself. */
export interface MemberEntry {
  readonly record: MemberRecord;
  /** Since when the record has its state, by the own clock. */
  readonly stateSinceMs: number;
}
