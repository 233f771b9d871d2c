import type { DutyAssignment } from '../duties/DutyAssignment.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';

/** What follows the members and the duties; called within the step. */
export interface FleetListener {
  /**
   * @param member - a member whose state or process start changed
   */
  onMemberChanged(member: MemberRecord): void;
  /**
   * @param member - a member with a higher configuration version than the own one
   */
  onNewerConfiguration(member: MemberRecord): void;
  /**
   * @param duties - who has which duty now
   */
  onDutiesChanged(duties: DutyAssignment): void;
}
