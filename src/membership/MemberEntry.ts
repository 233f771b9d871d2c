import type { MemberRecord } from '../peers/PeerMessage.ts';

/** Member record with the local state that this host keeps for it. */
export interface MemberEntry {
  readonly record: MemberRecord;
  /** When the record got its state, in monotonic time of this host. */
  readonly stateSinceMs: number;
}
