import { getRendezvousScore } from './getRendezvousScore.ts';

/**
 * Chooses by rendezvous hashing: when a candidate goes, only its own keys move.
 *
 * @param key - what is to be placed
 * @param candidates - where it may go
 * @param count - how many to choose
 * @returns the chosen ones, the best first
 */
export function getHighestScored<Candidate extends string>(
  key: string,
  candidates: readonly Candidate[],
  count: number,
): Candidate[] {
  return candidates
    .map((candidate) => ({ candidate, score: getRendezvousScore(key, candidate) }))
    .sort((a, b) => b.score - a.score || (a.candidate < b.candidate ? -1 : 1))
    .slice(0, count)
    .map(({ candidate }) => candidate);
}
