import type { UpstreamId } from '../lib/ids.ts';
import type { JobPiece, JobStage, PlacementJob } from './PlacementJob.ts';

/** Groups that take in less than this don't wait for an upstream near by. */
const MIN_HELD_BYTES = 500_000;
/** Part of a group's spare time for which it waits for an upstream near by. */
const HOLD_FRACTION = 0.3;

/** The waiting pieces of one stage of one request. */
export interface PieceGroup {
  readonly job: PlacementJob;
  readonly stage: JobStage;
  readonly pieces: readonly JobPiece[];
  /** Whether the request can still be answered on time. */
  readonly canBeOnTime: boolean;
  /** Time to spare before it can't be on time, or can't be done, any more. */
  readonly slackMs: number;
  /** Where its inputs stand, or else the engine that is likely to run it; null for anywhere. */
  readonly failureDomain: string | null;
  /** What its pieces take in together. */
  readonly inputBytes: number;
}

/** A piece chosen for a call. */
export interface PlannedPiece {
  readonly job: PlacementJob;
  readonly stage: JobStage;
  readonly piece: JobPiece;
}

/** What one call of one idle upstream can hold. */
export interface BatchSpace {
  readonly makerId: UpstreamId;
  readonly failureDomain: string;
  readonly maxPieces: number;
  readonly freeBytes: number;
}

/** The pieces that share a call of an upstream. */
export interface PlannedBatch {
  readonly makerId: UpstreamId;
  readonly pieces: PlannedPiece[];
}

/** An upstream that works on a call. */
export interface BusyMaker {
  readonly failureDomain: string;
  /** How long that call still takes. */
  readonly freeInMs: number;
}

interface OpenBatch extends PlannedBatch {
  readonly space: BatchSpace;
  freeBytes: number;
}

function getRoom(batch: OpenBatch, group: PieceGroup): number {
  const bytes = group.stage.resultBytes;
  const room = bytes > 0 ? Math.floor(batch.freeBytes / bytes) : Infinity;
  return Math.max(0, Math.min(batch.space.maxPieces - batch.pieces.length, room));
}

/** Whole before in parts, near before far, a call that is formed already before another one. */
function compareBatches(left: OpenBatch, right: OpenBatch, group: PieceGroup): number {
  const count = group.pieces.length;
  const isNear = (batch: OpenBatch): boolean => batch.space.failureDomain === group.failureDomain;
  return Math.min(count, getRoom(right, group)) - Math.min(count, getRoom(left, group))
    || Number(isNear(right)) - Number(isNear(left))
    || Number(right.pieces.length > 0) - Number(left.pieces.length > 0);
}

/**
 * Orders groups for a pool that can't do all of them at once: requests that can still be on time
 * first, the more urgent class before the less urgent one, then the least time to spare.
 *
 * Load pattern: a burst that exceeds what the pool does within the objective. In order of arrival
 * every request waits the same and all are late; in this order those that are served are on time.
 *
 * @param left - a group
 * @param right - another one
 * @returns negative when `left` goes first
 */
export function compareGroups(left: PieceGroup, right: PieceGroup): number {
  return Number(right.canBeOnTime) - Number(left.canBeOnTime)
    || left.job.request.priority - right.job.request.priority
    || left.slackMs - right.slackMs;
}

/** Whether a group does better to wait for an upstream in its own failure domain. */
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
 * Spreads groups over the calls of idle upstreams. A group that fits is kept whole, so that its
 * results stand together and its request doesn't wait for a second call, and goes where its inputs
 * or its engine are, so that little is carried between failure domains.
 *
 * Load pattern: results of megabytes, made in three failure domains for engines in three. Filling
 * one upstream after the other carries two thirds of them across. A group that takes in much
 * and has time to spare waits for an upstream of its own failure domain.
 *
 * @param groups - in the order in which they go
 * @param spaces - the idle upstreams, the best one first
 * @param busy - the upstreams that work on a call
 * @returns the calls that hold anything
 */
export function planBatches(
  groups: readonly PieceGroup[],
  spaces: readonly BatchSpace[],
  busy: readonly BusyMaker[] = [],
): PlannedBatch[] {
  const batches: OpenBatch[] = spaces.map((space) => ({
    makerId: space.makerId, space, freeBytes: space.freeBytes, pieces: [],
  }));
  groups.forEach((group) => {
    if (shouldHold(group, batches, busy)) {
      return;
    }
    let waiting = [...group.pieces];
    while (waiting.length > 0) {
      const rest = { ...group, pieces: waiting };
      const [best] = [...batches].sort((left, right) => compareBatches(left, right, rest));
      const count = best === undefined ? 0 : Math.min(waiting.length, getRoom(best, rest));
      if (best === undefined || count === 0) {
        return;
      }
      waiting.slice(0, count).forEach((piece) => {
        best.pieces.push({ job: group.job, stage: group.stage, piece });
      });
      best.freeBytes -= count * group.stage.resultBytes;
      waiting = waiting.slice(count);
    }
  });
  return batches.filter((batch) => batch.pieces.length > 0);
}
