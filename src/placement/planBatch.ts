import type { JobPiece, JobStage, PlacementJob } from './PlacementJob.ts';

/** The waiting pieces of one stage of one request. */
export interface PieceGroup {
  readonly job: PlacementJob;
  readonly stage: JobStage;
  readonly pieces: readonly JobPiece[];
  /** Whether the request can still be answered on time. */
  readonly canBeOnTime: boolean;
  /** Time to spare before it can't be on time, or can't be done, any more. */
  readonly slackMs: number;
}

/** A piece chosen for a call. */
export interface PlannedPiece {
  readonly job: PlacementJob;
  readonly stage: JobStage;
  readonly piece: JobPiece;
}

/** What one call of one upstream can hold. */
export interface BatchSpace {
  readonly maxPieces: number;
  readonly freeBytes: number;
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

/**
 * Fills one call. A group that fits is taken whole, so that its results stand together and its
 * request doesn't wait for a second call; the rest of the space takes parts.
 *
 * @param groups - in the order in which they go
 * @param space - what the call can hold
 * @returns the pieces; empty when none fits
 */
export function planBatch(groups: readonly PieceGroup[], space: BatchSpace): PlannedPiece[] {
  const planned: PlannedPiece[] = [];
  let { freeBytes } = space;
  groups.forEach((group) => {
    const bytes = group.stage.resultBytes;
    const room = bytes > 0 ? Math.floor(freeBytes / bytes) : Infinity;
    const count = Math.min(group.pieces.length, space.maxPieces - planned.length, room);
    group.pieces.slice(0, Math.max(0, count)).forEach((piece) => {
      planned.push({ job: group.job, stage: group.stage, piece });
    });
    freeBytes -= Math.max(0, count) * bytes;
  });
  return planned;
}
