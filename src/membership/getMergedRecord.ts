import type { MemberRecord } from '../peers/PeerMessage.ts';

/** Of two statements about the same generation, the one that is harder to take back wins. */
const STATE_PRECEDENCE: Readonly<Record<MemberRecord['state'], number>> = {
  alive: 0, suspect: 1, leaving: 2, dead: 3,
};

/**
 * Decides between what is known of a member and what was heard. A process start that was replaced
 * by another never comes back: the generation of a start begins above that of every earlier one.
 *
 * @param known - what is known
 * @param received - what a peer states
 * @returns the one to keep; the known one when they are equal
 */
export function getMergedRecord(known: MemberRecord, received: MemberRecord): MemberRecord {
  if (received.generation !== known.generation) {
    return received.generation > known.generation ? received : known;
  }
  if (STATE_PRECEDENCE[received.state] !== STATE_PRECEDENCE[known.state]) {
    return STATE_PRECEDENCE[received.state] > STATE_PRECEDENCE[known.state] ? received : known;
  }
  return known;
}
