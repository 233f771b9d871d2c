/** A run that the end of its upstream broke off; wall times of the host that saw it. */
export interface CrashedRun {
  readonly sentAtMs: number;
  readonly endedAtMs: number;
}

/** Ends that are closer than this may have one cause outside of the request, such as a rack. */
const SIMULTANEOUS_MS = 500;

/** Counts runs that each began after the one before had ended. */
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
 * Counts the crashes that a request may have caused, one for each upstream unless they came
 * together: a popular request is at many upstreams when a rack fails, and that counts once.
 *
 * @param runs - the runs that crashes broke off, in any order
 * @returns those that came in turn, or at different moments, whichever are more
 */
export function countCrashes(runs: readonly CrashedRun[]): number {
  const byEnd = [...runs].sort((left, right) => left.endedAtMs - right.endedAtMs);
  return Math.max(countSequentialRuns(byEnd), countDistinctEnds(byEnd));
}
