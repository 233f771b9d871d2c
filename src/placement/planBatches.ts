import type { UpstreamId } from '../lib/ids.ts';
import type { JobPiece, JobStage, PlacementJob } from './PlacementJob.ts';
import type { Precedence } from './Precedence.ts';

/** Groups with fewer input bytes don't wait for an upstream in their failure domain. */
const MIN_HELD_BYTES = 500_000;
/** Fraction of its slack that a group waits for an upstream in its failure domain. */
const HOLD_FRACTION = 0.3;

/** The waiting pieces of one stage of one request. */
export interface PieceGroup extends Precedence {
  readonly stage: JobStage;
  readonly pieces: readonly JobPiece[];
  /** Whether its pieces share a call with no other piece. */
  readonly needsOwnCall: boolean;
  /** Where its inputs are, or else the engine that likely runs it; null for any. */
  readonly failureDomain: string | null;
  /** Sum of the inputs of all its pieces. */
  readonly inputBytes: number;
}

/** A piece assigned to a call. */
export interface PlannedPiece {
  readonly job: PlacementJob;
  readonly stage: JobStage;
  readonly piece: JobPiece;
}

/** The capacity of one call to one idle upstream. */
export interface BatchSpace {
  readonly makerId: UpstreamId;
  readonly failureDomain: string;
  readonly maxPieces: number;
  readonly freeBytes: number;
}

/** The pieces that share a call to an upstream. */
export interface PlannedBatch {
  readonly makerId: UpstreamId;
  readonly pieces: PlannedPiece[];
}

/** An upstream without a free slot for a call. */
export interface BusyMaker {
  readonly failureDomain: string;
  /** Time until its newest call is expected to end. */
  readonly freeInMs: number;
}

interface OpenBatch extends PlannedBatch {
  readonly space: BatchSpace;
  freeBytes: number;
  /** Whether it takes no further piece. */
  isClosed: boolean;
}

function getRoom(batch: OpenBatch, group: PieceGroup): number {
  if (batch.isClosed || (group.needsOwnCall && batch.pieces.length > 0)) {
    return 0;
  }
  const bytes = group.stage.resultBytes;
  const room = bytes > 0 ? Math.floor(batch.freeBytes / bytes) : Infinity;
  return Math.max(0, Math.min(batch.space.maxPieces - batch.pieces.length, room));
}

/** Prefers a call with room for all pieces, then one in the failure domain, then a started one. */
function compareBatches(left: OpenBatch, right: OpenBatch, group: PieceGroup): number {
  const count = group.pieces.length;
  const isNear = (batch: OpenBatch): boolean => batch.space.failureDomain === group.failureDomain;
  return Math.min(count, getRoom(right, group)) - Math.min(count, getRoom(left, group))
    || Number(isNear(right)) - Number(isNear(left))
    || Number(right.pieces.length > 0) - Number(left.pieces.length > 0);
}

/** Finds the first of the batches that suit a group best. */
function findBest(batches: readonly OpenBatch[], group: PieceGroup): OpenBatch | null {
  return batches.reduce<OpenBatch | null>((best, batch) => (
    best === null || compareBatches(best, batch, group) > 0 ? batch : best), null);
}

/** Tells whether a batch takes any further piece, if its result has at least that size. */
function hasAnyRoom({
  isClosed, pieces, space, freeBytes,
}: OpenBatch, leastBytes: number): boolean {
  return !isClosed && pieces.length < space.maxPieces && freeBytes >= leastBytes;
}

/** Tells whether a group should wait for a busy upstream in its own failure domain. */
function shouldHold(
  group: PieceGroup,
  batches: readonly OpenBatch[],
  busy: readonly BusyMaker[],
): boolean {
  const isNearOne = batches.some((batch) => batch.space.failureDomain === group.failureDomain
    && getRoom(batch, group) > 0);
  return !isNearOne
    && group.canBeOnTime
    && group.inputBytes >= MIN_HELD_BYTES
    && busy.some((maker) => maker.failureDomain === group.failureDomain
      && maker.freeInMs <= group.slackMs * HOLD_FRACTION);
}

/**
 * Assigns groups to the calls of idle upstreams. A group that fits stays whole, so that its results
 * are in one place and its request doesn't wait for a second call. It goes to the failure domain of
 * its inputs or its engine, so that little data is transferred between failure domains.
 *
 * Load pattern: results of megabytes, made in three failure domains for engines in three. Filling
 * one upstream after the other transfers two thirds of them between failure domains. A group with
 * large inputs and enough slack waits for an upstream of its own failure domain.
 *
 * @param groups - the groups in order of precedence
 * @param spaces - the capacities of idle upstreams, the preferred one first
 * @param busy - the upstreams without a free slot
 * @returns the calls that have at least one piece
 */
export function planBatches(
  groups: readonly PieceGroup[],
  spaces: readonly BatchSpace[],
  busy: readonly BusyMaker[] = [],
): PlannedBatch[] {
  const batches: OpenBatch[] = spaces.map((space) => ({
    makerId: space.makerId, space, freeBytes: space.freeBytes, pieces: [], isClosed: false,
  }));
  const leastBytes = Math.min(...groups.map(({ stage }) => stage.resultBytes));
  const getOpen = (): OpenBatch[] => batches.filter((batch) => hasAnyRoom(batch, leastBytes));
  let open = getOpen();
  // Most groups wait while few calls are free, and none of them fits once these are full.
  groups.every((group) => {
    if (shouldHold(group, batches, busy)) {
      return true;
    }
    let waiting = [...group.pieces];
    while (waiting.length > 0) {
      const best = findBest(open, { ...group, pieces: waiting });
      const count = best === null ? 0 : Math.min(waiting.length, getRoom(best, group));
      if (best === null || count === 0) {
        break;
      }
      waiting.slice(0, count).forEach((piece) => {
        best.pieces.push({ job: group.job, stage: group.stage, piece });
      });
      best.freeBytes -= count * group.stage.resultBytes;
      best.isClosed = group.needsOwnCall;
      waiting = waiting.slice(count);
      open = getOpen();
    }
    return open.length > 0;
  });
  return batches.filter((batch) => batch.pieces.length > 0);
}
