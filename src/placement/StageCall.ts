import type { UpstreamNotice } from '../directory/UpstreamNotice.ts';
import type { PoolId, UpstreamId } from '../lib/ids.ts';
import type { PlannedPiece } from './planBatches.ts';

/** One piece as the upstream needs it. */
export interface StageItem {
  readonly requestId: string;
  readonly stageIndex: number;
  readonly pieceIndex: number;
  readonly remainingMs: number;
  /** What a stage works on that needs no other stage; null for the others. */
  readonly key: string | null;
  /** Handles of the results that it works on. */
  readonly inputs: readonly string[];
}

/** One call with the pieces that share it. */
export interface StageCall {
  readonly poolId: PoolId;
  readonly makerId: UpstreamId;
  /** Start of the upstream's process, as it was known; null when it was not. */
  readonly makerStartedAtMs: number | null;
  /** IP address and port of the upstream. */
  readonly address: string;
  readonly items: readonly StageItem[];
  readonly pieces: readonly PlannedPiece[];
  readonly startedAtMs: number;
  /** How long the pool's figures say that it takes. */
  readonly expectedMs: number;
  /** When it is given up. */
  readonly timeoutMs: number;
}

/** Why a piece of a call that ran has no result. */
export const PIECE_FAILURE = {
  /** Its time was up before its turn came. */
  late: 'late',
  /** A result that it needs does not exist any more. */
  inputGone: 'inputGone',
  /** The upstream has no space for its result. */
  noRoom: 'noRoom',
  failed: 'failed',
} as const;

/** A member of {@link PIECE_FAILURE}. */
export type PieceFailure = typeof PIECE_FAILURE[keyof typeof PIECE_FAILURE];

/** What became of one piece. */
export type PieceOutcome =
  | { readonly kind: 'result'; readonly handle: string }
  | { readonly kind: 'failure'; readonly failure: PieceFailure };

/** What became of a call, and what the upstream said of itself. */
export interface StageReply {
  readonly outcome: StageOutcome;
  readonly notice: UpstreamNotice;
  /** HTTP status of its answer; null when there was none. */
  readonly status: number | null;
}

/** What became of a call. */
export type StageOutcome =
  | { readonly kind: 'answered'; readonly pieces: readonly PieceOutcome[] }
  /** No byte of it was handed to a connection. */
  | { readonly kind: 'notSent'; readonly detail: string }
  /** The upstream was full or is another one now. */
  | { readonly kind: 'notRun' }
  /** It may have run; there is no usable answer. */
  | { readonly kind: 'broken'; readonly detail: string };
