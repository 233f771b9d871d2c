import type { PoolId } from '../lib/ids.ts';

/** The death of one incarnation of an upstream, as far as it concerns a request. */
export interface SuspectCrash {
  /** Names upstream and incarnation, so that one death is counted once whoever tells of it. */
  readonly deathId: string;
  readonly poolId: PoolId;
}

/** A request that ran on upstreams when they died. */
export interface SuspectRecord {
  /** Digest of account, pipeline and input. */
  readonly fingerprint: string;
  readonly deaths: readonly SuspectCrash[];
  /** How long the record is still kept. */
  readonly expiresInMs: number;
}

/** Tells peers of suspects; each part replaces nothing and may arrive twice or late. */
export interface QuarantineMessage {
  readonly kind: 'quarantine';
  readonly suspects: readonly SuspectRecord[];
  /** Suspects that ran alone without harm. */
  readonly clearedFingerprints: readonly string[];
  /** Deaths that were none: the same incarnation was seen again. */
  readonly retractedDeathIds: readonly string[];
}
