import type { RenewResult } from '../directory/DirectoryStore.ts';
import type { HostId } from '../lib/ids.ts';

/** A request that was with an upstream when that ended. */
export interface AffectedRequest {
  readonly fingerprint: string;
  /** Wall time of the host that sent it. */
  readonly sentAtMs: number;
}

/** The end of one start of an upstream, with the requests of one host that were with it. */
export interface CrashReport {
  /** Names the upstream and the start that ended. */
  readonly crashId: string;
  /** Wall time of the host that saw it. */
  readonly endedAtMs: number;
  readonly requests: readonly AffectedRequest[];
}

/** What a host wants to stand in the store of a held request's trials. */
export interface TrialRecord {
  readonly fingerprint: string;
  /** Trials so far, the one that begins included. */
  readonly trialCount: number;
  /** Revision of the record that it replaces; 0 for none. */
  readonly expectedRevision: number;
  /** A request whose record makes room; null while there are few. */
  readonly evictedFingerprint: string | null;
}

/** Where hosts tell one another of crashes. Methods reject when the store gives no answer. */
export interface QuarantineStore {
  /**
   * @param ttlMs - how long the lease lasts
   * @returns the lease's id
   */
  createLease(ttlMs: number): Promise<number>;
  /**
   * @param report - what is told
   * @param hostId - who tells it
   * @param leaseId - how long it stands
   * @returns whether the lease still stands
   */
  writeCrash(report: CrashReport, hostId: HostId, leaseId: number): Promise<RenewResult>;
  /**
   * @param fingerprint - a request that was answered; the record of its trials goes
   * @param leaseId - how long that stands
   * @returns whether the lease still stands
   */
  writeCleared(fingerprint: string, leaseId: number): Promise<RenewResult>;
  /**
   * @param record - see {@link TrialRecord}
   * @returns the revision of the new record; null when another host was first
   */
  writeTrials(record: TrialRecord): Promise<number | null>;
}
