import type { MemberRecord } from '../peers/PeerMessage.ts';

/** A member with what this host keeps about it for itself. */
export interface MemberEntry {
  readonly record: MemberRecord;
  /** Since when the record has its state, by the own clock. */
  readonly stateSinceMs: number;
  /** When the member last answered or sent a heartbeat directly; null for never. */
  readonly heardAtMs: number | null;
  /** Whether this start of the member told that it leaves, whatever became of it later. */
  readonly hasLeft: boolean;
}
