import type { EraBound } from '../directory/EraBound.ts';
import type { RenewResult, StoreLease } from '../directory/StoreLease.ts';
import type { HostId } from '../lib/ids.ts';
import type { SuspectId } from './SuspectId.ts';

/** A request that was running at an upstream when that crashed, or a part of its prompt. */
export interface AffectedSuspect {
  readonly suspectId: SuspectId;
  /** When the first such request was sent, by the wall clock of the sending host. */
  readonly sentAtMs: number;
}

/** A crash of an upstream process, with all that one host had running there. */
export interface CrashReport {
  /** Identifies the upstream and the process that crashed. */
  readonly crashId: string;
  /** When the upstream crashed, by the wall clock of the reporting host. */
  readonly endedAtMs: number;
  readonly suspects: readonly AffectedSuspect[];
}

/** Trial count of a held suspect, as a host writes it to the store. */
export interface TrialRecord {
  readonly suspectId: SuspectId;
  /** Trials so far, including the one that begins. */
  readonly trialCount: number;
  /** Revision of the record to replace; 0 for none. */
  readonly expectedRevision: EraBound;
  /** Suspect whose record is removed to bound their number; null while there are few. */
  readonly evictedId: SuspectId | null;
}

/** Shares crashes and trials between hosts. Methods reject when the store gives no answer. */
export interface QuarantineStore {
  /**
   * Creates a lease for records.
   *
   * @param ttlMs - duration of the lease
   * @returns the lease
   */
  createLease(ttlMs: number): Promise<StoreLease>;
  /**
   * Writes a crash report.
   *
   * @param report - the report
   * @param hostId - the reporting host
   * @param lease - lease that bounds the lifetime of the record
   * @returns whether the lease is still valid
   */
  writeCrash(report: CrashReport, hostId: HostId, lease: StoreLease): Promise<RenewResult>;
  /**
   * Writes that a suspect was answered, and removes its trial record.
   *
   * @param suspectId - the suspect
   * @param lease - lease that bounds the lifetime of the record
   * @returns whether the lease is still valid
   */
  writeCleared(suspectId: SuspectId, lease: StoreLease): Promise<RenewResult>;
  /**
   * Writes a trial record if the store still has the expected revision.
   *
   * @param record - see {@link TrialRecord}
   * @returns the revision of the new record; null when another host was first
   */
  writeTrials(record: TrialRecord): Promise<EraBound | null>;
}
