import type { PoolId, UpstreamId } from '../lib/ids.ts';
import { SHARE_RANK, type ShareRank } from '../shares/SHARE_RANK.ts';
import type { PlacementRequest, PlacementResult } from './PlacementRequest.ts';
import type { PieceFailure } from './PIECE_FAILURE.ts';

/** Why a piece is retried: the outcome of its last call or placement, or the loss of its result. */
export type PieceRetryReason = 'placedAgain' | 'notRun' | 'broken' | 'resultGone' | PieceFailure;

/** The state of one piece of a stage. */
export interface JobPiece {
  readonly index: number;
  state: 'waiting' | 'running' | 'done';
  /** Handle of its result; null before it is done and after the result was released. */
  handle: string | null;
  /** Upstream that runs the piece or stores its result. */
  makerId: UpstreamId | null;
  /** Known number of attempts; starts at 1 if the request was placed before. */
  sendCount: number;
  /** Why it is retried; null before its first attempt has ended. */
  retryReason: PieceRetryReason | null;
  /** Number of its calls that ended without a usable answer, as when the upstream crashed. */
  brokenCallCount: number;
}

/** The state of one stage of a request. */
export interface JobStage {
  readonly index: number;
  readonly poolId: PoolId;
  readonly after: readonly number[];
  readonly resultBytes: number;
  /** Number of stages on the longest path from this one to the engine, itself included. */
  readonly height: number;
  /** Number of its pieces; the caller names it. */
  readonly pieceCount: number;
  /** Its pieces; none before the request is accepted (see {@link createPieces}). */
  pieces: readonly JobPiece[];
  /** When its pieces could first be sent; null before. */
  openedAtMs: number | null;
  /** When its first piece was sent; null before. */
  sentAtMs: number | null;
  /** When its last piece was done; null before. */
  doneAtMs: number | null;
}

/** A request that is being placed or that runs on the engine where it was placed. */
export interface PlacementJob {
  request: PlacementRequest;
  readonly stages: readonly JobStage[];
  readonly arrivedAtMs: number;
  readonly onTimeAtMs: number;
  readonly deadlineAtMs: number;
  /** Failure domain of the engine that caches most of its prompt; null if there is none. */
  readonly preferredDomain: string | null;
  state: 'inStages' | 'awaitingEngine' | 'placed';
  engineId: UpstreamId | null;
  /** Whether it has waited because all its engines advertise limits. */
  isHeldByLimit: boolean;
  /** Order within its priority class while the class is scarce. */
  shareRank: ShareRank;
  /** When the engine was chosen; 0 before that. */
  placedAtMs: number;
  readonly answer: (result: PlacementResult) => void;
}

/**
 * @param stage - a stage
 * @returns the number of its pieces that are not done
 */
export function countOpenPieces({ pieceCount, pieces }: JobStage): number {
  return pieces.reduce((count, { state }) => count - Number(state === 'done'), pieceCount);
}

/** A done stage may have lost or released its results; it counts only while it has them all. */
function hasResults(stage: JobStage | undefined): boolean {
  return stage === undefined
    || stage.pieces.every((piece) => piece.state === 'done' && piece.handle !== null);
}

function getHeights(request: PlacementRequest): number[] {
  const heights: number[] = request.stages.map(() => 1);
  // Stages follow their dependencies, so that one backward pass is enough.
  for (let index = request.stages.length - 1; index >= 0; index -= 1) {
    request.stages[index]?.after.forEach((needed) => {
      heights[needed] = Math.max(heights[needed] ?? 1, (heights[index] ?? 1) + 1);
    });
  }
  return heights;
}

/**
 * @param request - the request
 * @param nowMs - the current time
 * @param preferredDomain - failure domain of the engine that caches most of its prompt
 * @param answer - receives the result
 * @returns a job without its pieces, which take memory only once it is accepted
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
      pieceCount: request.pieceCounts[index] ?? 1,
      pieces: [],
      openedAtMs: null,
      sentAtMs: null,
      doneAtMs: null,
    })),
    arrivedAtMs: nowMs,
    onTimeAtMs: nowMs + request.onTimeMs,
    deadlineAtMs: nowMs + request.remainingMs,
    preferredDomain,
    state: 'inStages',
    engineId: null,
    isHeldByLimit: false,
    shareRank: SHARE_RANK.within,
    placedAtMs: 0,
    answer,
  };
}

/**
 * Creates the pieces of a request that is accepted, all of them waiting.
 *
 * @param job - the request
 */
export function createPieces({ request, stages }: PlacementJob): void {
  const { isPlacedAgain } = request;
  stages.forEach((stage) => {
    const accepted = stage;
    accepted.pieces = Array.from({ length: stage.pieceCount }, (_, index) => ({
      index,
      state: 'waiting',
      handle: null,
      makerId: null,
      sendCount: isPlacedAgain ? 1 : 0,
      retryReason: isPlacedAgain ? 'placedAgain' : null,
      brokenCallCount: 0,
    }));
  });
}

/**
 * Releases the parts of a prompt, which nothing needs after an engine was chosen.
 *
 * @param job - a request that is placed
 */
export function releasePrompt(job: PlacementJob): void {
  const placed = job;
  placed.request = { ...job.request, parts: [] };
}

/** Broken calls after which a piece no longer shares a call with others. */
const MAX_SHARED_BROKEN_CALLS = 2;
/** Broken calls after which a piece is not sent again. */
const MAX_BROKEN_CALLS = 4;

/**
 * Tells whether a piece is sent without others: it may have broken its last calls, and the pieces
 * that shared them must not be given up with it.
 *
 * @param piece - a piece
 * @returns whether it needs a call of its own
 */
export function isSentAlone({ brokenCallCount }: JobPiece): boolean {
  return brokenCallCount >= MAX_SHARED_BROKEN_CALLS;
}

/**
 * @param job - a request
 * @returns whether one of its pieces has broken so many calls that the request is given up
 */
export function hasCrashingPiece({ stages }: PlacementJob): boolean {
  return stages.some(({ pieces }) => (
    pieces.some(({ brokenCallCount }) => brokenCallCount >= MAX_BROKEN_CALLS)));
}

/**
 * @param stage - a stage
 * @returns whether all its pieces are done
 */
export function isStageDone(stage: JobStage): boolean {
  return stage.pieces.length === stage.pieceCount
    && stage.pieces.every((piece) => piece.state === 'done');
}

/**
 * Tells whether a stage's pieces may be sent: its inputs exist, and all stages further from the
 * engine are done, so that its results don't occupy memory while they wait.
 *
 * @param job - the request
 * @param stage - one of its stages
 * @returns whether its pieces may be sent
 */
export function isStageOpen(job: PlacementJob, stage: JobStage): boolean {
  return stage.after.every((index) => hasResults(job.stages[index]))
    && job.stages.every((other) => other.height <= stage.height || isStageDone(other));
}

/**
 * @param job - the request
 * @returns the stages whose results are inputs of the engine
 */
export function getLastStages(job: PlacementJob): JobStage[] {
  const needed = new Set(job.stages.flatMap((stage) => [...stage.after]));
  return job.stages.filter((stage) => !needed.has(stage.index));
}

/**
 * @param job - a request
 * @returns whether any unfinished piece of it has been sent
 */
export function hasSentPieces({ stages }: PlacementJob): boolean {
  return stages.some(({ pieces }) => (
    pieces.some(({ sendCount, state }) => sendCount > 0 && state !== 'done')));
}

/**
 * @param stage - a stage
 * @returns the handles of its existing results
 */
export function getHandles(stage: JobStage): string[] {
  return stage.pieces.flatMap((piece) => (piece.handle === null ? [] : [piece.handle]));
}
