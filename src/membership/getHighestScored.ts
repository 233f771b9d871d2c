import { getRendezvousScore } from './getRendezvousScore.ts';

/**
 * Selects candidates by rendezvous hashing: when a candidate leaves, only its own keys move.
 *
 * @param key - the key to assign
 * @param candidates - the possible owners of the key
 * @param count - number of candidates to select
 * @returns the selected candidates, the highest score first
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
