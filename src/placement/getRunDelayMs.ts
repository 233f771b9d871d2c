/** Events within this time are processed in one run. */
const MIN_DELAY_MS = 3;
/** Longest delay, which is short against a call of a stage. */
const MAX_DELAY_MS = 20;
/** Time between two runs in multiples of the time that a run takes. */
const PAUSE_FACTOR = 4;

/**
 * Computes when the coordinator runs after an event.
 *
 * Load pattern: hundreds of waiting requests, an event each few milliseconds. A run goes over all
 * waiting requests; one for each event leaves no processor time for the requests.
 *
 * @param lastRunMs - time that the last run took
 * @returns the delay, so that runs take at most a fifth of the time while that is possible
 */
export function getRunDelayMs(lastRunMs: number): number {
  return Math.min(MAX_DELAY_MS, Math.max(MIN_DELAY_MS, lastRunMs * PAUSE_FACTOR));
}
