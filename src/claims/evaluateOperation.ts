import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { ClaimBucket, ClaimEntry } from './ClaimBucket.ts';
import type {
  ClaimKeyOperation, ClaimOperation, ClaimResult, RecordOutcomeOperation, ReleaseOperation,
} from './ClaimOperation.ts';

/** Bucket as this host last read or wrote it. */
export interface CachedBucket {
  readonly bucket: ClaimBucket;
  readonly version: number;
  /** When the call that returned it was sent, in monotonic time. */
  readonly readAtMs: number;
}

/** Next step of an operation. */
export type Evaluation =
  | { readonly kind: 'resolved'; readonly result: ClaimResult }
  | { readonly kind: 'write'; readonly sequence: number; readonly entry: ClaimEntry }
  /** The cached bucket is too old and has to be read again. */
  | { readonly kind: 'refresh'; readonly sequence: number };

/** Cached state of the shard's log, newest bucket first. */
export interface ClaimView {
  readonly buckets: readonly CachedBucket[];
  readonly wallMs: number;
  /** A cached state read before this time is not used. */
  readonly freshAfterMs: number;
}

const RELEASED_ENTRY = {
  hostId: '', incarnationId: '', inputDigest: '', state: 'released', outcome: null,
} as unknown as ClaimEntry;

function findEntry(
  view: ClaimView,
  key: string,
): { readonly cached: CachedBucket; readonly entry: ClaimEntry } | null {
  const cached = view.buckets.find(({ bucket }) => bucket.claims.has(key));
  const entry = cached?.bucket.claims.get(key);
  return cached === undefined || entry === undefined ? null : { cached, entry };
}

function getOpenSequence(view: ClaimView): number {
  return view.buckets[0]?.bucket.sequence ?? 0;
}

function resolve(result: ClaimResult): Evaluation {
  return { kind: 'resolved', result };
}

function evaluateClaim(operation: ClaimKeyOperation, view: ClaimView): Evaluation {
  const { key, kind, ...claimer } = operation;
  const found = findEntry(view, key);
  if (found === null || (found.entry.state === 'released' && found.entry.token !== claimer.token)) {
    const entry: ClaimEntry = {
      ...claimer, claimedAtMs: view.wallMs, state: 'running', outcome: null,
    };
    return { kind: 'write', sequence: getOpenSequence(view), entry };
  }
  const { entry, cached } = found;
  if (entry.state === 'released') {
    return resolve({ kind: 'unavailable', isKeyHistoryKnown: false, isUncertain: false });
  }
  if (entry.token === claimer.token && entry.state === 'running') {
    return resolve({ kind: 'granted' });
  }
  if (entry.state === 'running' && cached.readAtMs < view.freshAfterMs) {
    return { kind: 'refresh', sequence: cached.bucket.sequence };
  }
  if (entry.inputDigest !== claimer.inputDigest) {
    return resolve({ kind: 'keyReused' });
  }
  if (entry.outcome !== null) {
    return resolve({ kind: 'completed', outcome: entry.outcome });
  }
  const { hostId, incarnationId, claimedAtMs } = entry;
  return resolve({
    kind: 'held', hostId, incarnationId, ageMs: view.wallMs - claimedAtMs,
  });
}

/** Resolves an operation whose claim is not cached; only a fresh read shows that it is absent. */
function getStoredUnlessStale(view: ClaimView): Evaluation {
  const open = view.buckets[0];
  return open !== undefined && open.readAtMs < view.freshAfterMs
    ? { kind: 'refresh', sequence: open.bucket.sequence }
    : resolve({ kind: 'stored' });
}

function evaluateOutcome(operation: RecordOutcomeOperation, view: ClaimView): Evaluation {
  const found = findEntry(view, operation.key);
  if (found?.entry.token === operation.token) {
    const { entry, cached } = found;
    const updated: ClaimEntry = { ...entry, state: 'completed', outcome: operation.outcome };
    return entry.state === 'running'
      ? { kind: 'write', sequence: cached.bucket.sequence, entry: updated }
      : resolve({ kind: 'stored' });
  }
  return getStoredUnlessStale(view);
}

function evaluateRelease(operation: ReleaseOperation, view: ClaimView): Evaluation {
  const found = findEntry(view, operation.key);
  if (found?.entry.token === operation.token) {
    const { entry, cached } = found;
    return entry.state === 'running'
      ? { kind: 'write', sequence: cached.bucket.sequence, entry: { ...entry, state: 'released' } }
      : resolve({ kind: 'stored' });
  }
  if (found !== null && found.entry.state !== 'released') {
    return getStoredUnlessStale(view);
  }
  // The claim is absent, but its write may still be in flight: the tombstone increases the version
  // and makes any later claim by the same token fail.
  return {
    kind: 'write',
    sequence: getOpenSequence(view),
    entry: { ...RELEASED_ENTRY, token: operation.token, claimedAtMs: view.wallMs },
  };
}

/**
 * Decides the next step of an operation from the cached log. Pure: a write that it returns is valid
 * only at the version of the bucket in the view.
 *
 * @param operation - the operation
 * @param view - the shard's buckets, newest first
 * @returns a result, a write or a request for a fresh read
 */
export function evaluateOperation(operation: ClaimOperation, view: ClaimView): Evaluation {
  switch (operation.kind) {
    case 'claim':
      return evaluateClaim(operation, view);
    case 'outcome':
      return evaluateOutcome(operation, view);
    case 'release':
      return evaluateRelease(operation, view);
    default:
      throw exhaustiveSwitchError(operation);
  }
}
