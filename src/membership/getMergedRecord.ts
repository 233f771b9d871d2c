import type { MemberRecord } from '../peers/PeerMessage.ts';

/** Precedence of states within one generation: the state that is harder to refute wins. */
const STATE_PRECEDENCE: Readonly<Record<MemberRecord['state'], number>> = {
  alive: 0, suspect: 1, leaving: 2, dead: 3,
};

/**
 * Decides between the known and a received record of a member. A replaced process start never
 * returns, since the generation of a start begins above that of every earlier one.
 *
 * @param known - the known record
 * @param received - the record from a peer
 * @returns the record to keep; the known one when they are equal
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
