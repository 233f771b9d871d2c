import type { SoakRecord } from './SoakRecord.ts';

/**
 * Creates a record that is empty except for the given fields.
 *
 * @param overrides - fields to set
 * @returns the record
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
    configurations: [],
    probes: [],
    faultsEndedAtMs: Infinity,
    ...overrides,
  };
}
