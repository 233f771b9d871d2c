import type { MemberRecord } from '../peers/PeerMessage.ts';

/** The peers with which a host exchanges records. */
export interface GossipPeers {
  /**
   * @returns all members, including this host
   */
  getMembers(): MemberRecord[];
  /**
   * @returns the members in other failure domains to which this host holds links
   */
  getLinks(): MemberRecord[];
}
