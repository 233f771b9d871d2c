import type { SoakRecord } from './SoakRecord.ts';

/**
 * @param parts - what is known of a run
 * @returns the record of a run in which nothing else has happened
 */
export function createSoakRecord(parts: Partial<SoakRecord> = {}): SoakRecord {
  return {
    callers: [],
    runs: [],
    arrivals: [],
    notices: [],
    crashes: [],
    limitArrivals: [],
    limitWords: [],
    limitSpans: [],
    hostSpans: [],
    linkSpans: [],
    storeSpans: [],
    calmSinceMs: Infinity,
    ...parts,
  };
}
