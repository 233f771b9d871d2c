import type { PoolId, UpstreamId } from '../lib/ids.ts';
import type { PlacementRequest, PlacementResult } from './PlacementRequest.ts';
import type { PieceFailure } from './StageCall.ts';

/** Why a piece is sent again: how its call or its request ended, or what became of its result. */
export type PieceRetryReason = 'placedAgain' | 'notRun' | 'broken' | 'resultGone' | PieceFailure;

/** A piece of a stage. */
export interface JobPiece {
  readonly index: number;
  state: 'waiting' | 'running' | 'done';
  /** Names its result once it is done. */
  handle: string | null;
  /** Upstream that keeps the result. */
  makerId: UpstreamId | null;
  /** How often it was sent, as far as is known; once if its request was placed before. */
  sendCount: number;
  /** Why it is to be sent again; null before its first send has ended. */
  retryReason: PieceRetryReason | null;
}

/** A stage of one request. */
export interface JobStage {
  readonly index: number;
  readonly poolId: PoolId;
  readonly after: readonly number[];
  readonly resultBytes: number;
  /** Stages on the longest way from this one to the engine, itself included. */
  readonly height: number;
  readonly pieces: JobPiece[];
}

/** A request that is being placed or runs where it was placed. */
export interface PlacementJob {
  readonly request: PlacementRequest;
  readonly stages: readonly JobStage[];
  readonly onTimeAtMs: number;
  readonly deadlineAtMs: number;
  /** Where the engine is that likely keeps its prompt; null for anywhere. */
  readonly preferredDomain: string | null;
  state: 'inStages' | 'awaitingEngine' | 'placed';
  engineId: UpstreamId | null;
  /** Whether it has waited for an engine that names a limit. */
  isHeldByLimit: boolean;
  /** When the engine was chosen; 0 before. */
  placedAtMs: number;
  readonly answer: (result: PlacementResult) => void;
}

/** Results of a done stage may have been freed already; they count only while they stand. */
function hasResults(stage: JobStage | undefined): boolean {
  return stage === undefined
    || stage.pieces.every((piece) => piece.state === 'done' && piece.handle !== null);
}

function getHeights(request: PlacementRequest): number[] {
  const heights: number[] = request.stages.map(() => 1);
  // A stage comes after those it needs, so that one pass from the end suffices.
  for (let index = request.stages.length - 1; index >= 0; index -= 1) {
    request.stages[index]?.after.forEach((needed) => {
      heights[needed] = Math.max(heights[needed] ?? 1, (heights[index] ?? 1) + 1);
    });
  }
  return heights;
}

/**
 * @param request - what is asked for
 * @param nowMs - the time of the step
 * @param preferredDomain - where the engine is that likely keeps its prompt
 * @param answer - gets the result
 * @returns the job, with no piece done
 */
export function createPlacementJob(
  request: PlacementRequest,
  nowMs: number,
  preferredDomain: string | null,
  answer: (result: PlacementResult) => void,
): PlacementJob {
  const heights = getHeights(request);
  return {
    request,
    stages: request.stages.map((stage, index) => ({
      index,
      poolId: stage.poolId,
      after: stage.after,
      resultBytes: stage.resultBytes,
      height: heights[index] ?? 1,
      pieces: Array.from({ length: request.pieceCounts[index] ?? 1 }, (_, pieceIndex) => ({
        index: pieceIndex,
        state: 'waiting',
        handle: null,
        makerId: null,
        sendCount: request.isPlacedAgain ? 1 : 0,
        retryReason: request.isPlacedAgain ? 'placedAgain' : null,
      })),
    })),
    onTimeAtMs: nowMs + request.onTimeMs,
    deadlineAtMs: nowMs + request.remainingMs,
    preferredDomain,
    state: 'inStages',
    engineId: null,
    isHeldByLimit: false,
    placedAtMs: 0,
    answer,
  };
}

/**
 * @param stage - a stage
 * @returns whether all its pieces are done
 */
export function isStageDone(stage: JobStage): boolean {
  return stage.pieces.every((piece) => piece.state === 'done');
}

/**
 * Whether a stage's pieces may be sent now: what it needs is done, and no stage that is further
 * from the engine is still open, so that its results don't take up room while they wait.
 *
 * @param job - the request
 * @param stage - one of its stages
 * @returns whether to send
 */
export function isStageOpen(job: PlacementJob, stage: JobStage): boolean {
  return stage.after.every((index) => hasResults(job.stages[index]))
    && job.stages.every((other) => other.height <= stage.height || isStageDone(other));
}

/**
 * @param job - the request
 * @returns the stages whose results the engine takes in
 */
export function getLastStages(job: PlacementJob): JobStage[] {
  const needed = new Set(job.stages.flatMap((stage) => [...stage.after]));
  return job.stages.filter((stage) => !needed.has(stage.index));
}
