/** A run that a crash of its upstream interrupted; wall times of the host that detected it. */
export interface CrashedRun {
  readonly sentAtMs: number;
  readonly endedAtMs: number;
}

/** Crashes closer than this may share a cause other than the request, such as a rack failure. */
const SIMULTANEOUS_MS = 500;

/** Counts runs that each began after the previous one had ended. */
function countSequentialRuns(runs: readonly CrashedRun[]): number {
  let previousEndMs = -Infinity;
  let count = 0;
  runs.forEach(({ sentAtMs, endedAtMs }) => {
    if (sentAtMs >= previousEndMs) {
      previousEndMs = endedAtMs;
      count += 1;
    }
  });
  return count;
}

function countDistinctEnds(runs: readonly CrashedRun[]): number {
  let groupStartMs = -Infinity;
  let count = 0;
  runs.forEach(({ endedAtMs }) => {
    if (endedAtMs >= groupStartMs + SIMULTANEOUS_MS) {
      groupStartMs = endedAtMs;
      count += 1;
    }
  });
  return count;
}

/**
 * Counts the crashes that a request may have caused: one for each upstream, except that
 * simultaneous crashes count once, since a popular request runs at many upstreams when a rack
 * fails.
 *
 * @param runs - the runs that crashes interrupted, in any order
 * @returns the number of sequential runs or of distinct crash times, whichever is greater
 */
export function countCrashes(runs: readonly CrashedRun[]): number {
  const byEnd = [...runs].sort((left, right) => left.endedAtMs - right.endedAtMs);
  return Math.max(countSequentialRuns(byEnd), countDistinctEnds(byEnd));
}
