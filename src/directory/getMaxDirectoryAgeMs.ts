import { getMaxReaderAgeMs } from './getMaxReaderAgeMs.ts';

/** Time for the answers on the way, and for changes that are collected. */
const SLACK_MS = 800;

/** The waits of a host that follows the store or another host. */
export interface DirectoryWaits {
  /** Duration of one wait for changes of the store. */
  readonly storeWaitMs: number;
  /** Base wait when hosts follow one another; null when each follows the store. */
  readonly relayWaitMs: number | null;
}

/**
 * @param waits - the waits
 * @returns the age that a host's directory reaches at most while the store answers
 */
export function getMaxDirectoryAgeMs({ storeWaitMs, relayWaitMs }: DirectoryWaits): number {
  const relayedAgeMs = relayWaitMs === null ? 0 : getMaxReaderAgeMs(relayWaitMs) + relayWaitMs;
  return Math.max(storeWaitMs, relayedAgeMs) + SLACK_MS;
}
