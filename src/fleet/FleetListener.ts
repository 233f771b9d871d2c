import type { DutyAssignment } from '../duties/DutyAssignment.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';

/** Listener for changes of members and duties; called within the step. */
export interface FleetListener {
  /**
   * @param member - a member whose state or incarnation changed
   */
  onMemberChanged(member: MemberRecord): void;
  /**
   * @param member - a member with a higher configuration version than this host's
   */
  onNewerConfiguration(member: MemberRecord): void;
  /**
   * @param duties - the current assignment of duties to hosts
   */
  onDutiesChanged(duties: DutyAssignment): void;
}
