import type { SoakRecord } from './SoakRecord.ts';

/**
 * @param overrides - what is known of a run
 * @returns the record of a run in which nothing else has happened
 */
export function createSoakRecord(overrides: Partial<SoakRecord> = {}): SoakRecord {
  return {
    callers: [],
    runs: [],
    arrivals: [],
    notices: [],
    crashes: [],
    limitArrivals: [],
    limitNotices: [],
    limitSpans: [],
    hostSpans: [],
    linkSpans: [],
    storeSpans: [],
    faultsEndedAtMs: Infinity,
    ...overrides,
  };
}
