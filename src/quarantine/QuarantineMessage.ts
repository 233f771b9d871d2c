import type { PoolId } from '../lib/ids.ts';

/** A crash of one incarnation of an upstream that affected a request. */
export interface SuspectCrash {
  /** Identifies upstream and incarnation, so that a crash that several hosts report counts once. */
  readonly deathId: string;
  readonly poolId: PoolId;
}

/** A request that ran at upstreams when they crashed. */
export interface SuspectRecord {
  /** Digest of account, pipeline and input. */
  readonly fingerprint: string;
  readonly deaths: readonly SuspectCrash[];
  /** Remaining time for which the record is kept. */
  readonly expiresInMs: number;
}

/** Announces suspects to peers; replaces no earlier message, and may arrive twice or late. */
export interface QuarantineMessage {
  readonly kind: 'quarantine';
  readonly suspects: readonly SuspectRecord[];
  /** Suspects that ran alone without a crash. */
  readonly clearedFingerprints: readonly string[];
  /** Crashes that were not: the same incarnation proved to be alive. */
  readonly retractedDeathIds: readonly string[];
}
