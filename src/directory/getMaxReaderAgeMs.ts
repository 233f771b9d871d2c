/** Longest wait of a reader for changes of the store, as a multiple of its base wait. */
export const READER_WAIT_FACTOR = 2;
/** Pause of a reader after changes, as a multiple of its base wait. */
export const READER_SETTLE_FACTOR = 0.5;
/** Tolerated silence of the store beyond a reader's wait and pause. */
const FRESHNESS_SLACK_MS = 400;

/**
 * @param relayWaitMs - base wait when hosts follow one another
 * @returns the age up to which other hosts follow a reader
 */
export function getMaxReaderAgeMs(relayWaitMs: number): number {
  return relayWaitMs * (READER_WAIT_FACTOR + READER_SETTLE_FACTOR) + FRESHNESS_SLACK_MS;
}
