import type { MemberRecord } from '../peers/PeerMessage.ts';

/** Whom records are exchanged with. */
export interface GossipPeers {
  /**
   * @returns all members with the own host
   */
  getMembers(): MemberRecord[];
  /**
   * @returns the members in other failure domains that this host holds links to
   */
  getLinks(): MemberRecord[];
}
