import type { HostId, IncarnationId } from '../lib/ids.ts';
import type { RecordedOutcome } from './ClaimOperation.ts';

/** State of one claimed key. */
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
 * One platform value of the claim log. A sealed bucket accepts no new claim, and the next bucket is
 * written only after this one is sealed. So a key that is missing from all sealed buckets stays
 * missing from them, and the version of the open bucket fences all writers of the shard.
 */
export interface ClaimBucket {
  readonly sequence: number;
  readonly openedAtMs: number;
  /** Null while the bucket is open. */
  readonly sealedAtMs: number | null;
  readonly claims: ReadonlyMap<string, ClaimEntry>;
}

/** Range of the buckets of a shard that hold claims. */
export interface ClaimHead {
  readonly firstSequence: number;
  readonly openSequence: number;
}

/**
 * Creates an empty open bucket.
 *
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
 * Serializes a bucket for the platform.
 *
 * @param bucket - the bucket to store
 * @returns the text of the platform value
 */
export function formatClaimBucket(bucket: ClaimBucket): string {
  return JSON.stringify({ ...bucket, claims: [...bucket.claims] });
}

/**
 * Parses a stored bucket.
 *
 * @param text - a platform value written by {@link formatClaimBucket}
 * @returns the bucket
 * @throws SyntaxError when the value is not JSON
 */
export function parseClaimBucket(text: string): ClaimBucket {
  const stored = JSON.parse(text) as Omit<ClaimBucket, 'claims'> & {
    claims: [string, ClaimEntry][];
  };
  return { ...stored, claims: new Map(stored.claims) };
}
