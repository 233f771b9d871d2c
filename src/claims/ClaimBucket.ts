import type { HostId, IncarnationId } from '../lib/ids.ts';
import type { RecordedOutcome } from './ClaimOperation.ts';

/** A claimed key. */
export interface ClaimEntry {
  readonly token: string;
  readonly hostId: HostId;
  readonly incarnationId: IncarnationId;
  readonly inputDigest: string;
  readonly claimedAtMs: number;
  readonly state: 'running' | 'completed' | 'released';
  readonly outcome: RecordedOutcome | null;
}

/**
 * One platform value of the claim log. A sealed bucket takes no new claim, and the next bucket is
 * written only after it is sealed; so "no entry in any sealed bucket" stays true, and the version
 * of the open bucket fences all writers of the shard.
 */
export interface ClaimBucket {
  readonly sequence: number;
  readonly openedAtMs: number;
  /** Null while the bucket is open. */
  readonly sealedAtMs: number | null;
  readonly claims: ReadonlyMap<string, ClaimEntry>;
}

/** Which buckets of a shard hold claims. */
export interface ClaimHead {
  readonly firstSequence: number;
  readonly openSequence: number;
}

/**
 * @param sequence - position in the shard's log
 * @param openedAtMs - Unix time
 * @returns a bucket without claims
 */
export function createClaimBucket(sequence: number, openedAtMs: number): ClaimBucket {
  return {
    sequence, openedAtMs, sealedAtMs: null, claims: new Map(),
  };
}

/**
 * @param bucket - the bucket to store
 * @returns the text of the platform value
 */
export function formatClaimBucket(bucket: ClaimBucket): string {
  return JSON.stringify({ ...bucket, claims: [...bucket.claims] });
}

/**
 * @param text - a platform value that {@link formatClaimBucket} made
 * @returns the bucket
 * @throws SyntaxError when the value is not JSON
 */
export function parseClaimBucket(text: string): ClaimBucket {
  const stored = JSON.parse(text) as Omit<ClaimBucket, 'claims'> & {
    claims: [string, ClaimEntry][];
  };
  return { ...stored, claims: new Map(stored.claims) };
}
