import type { UpstreamNotice } from '../directory/UpstreamNotice.ts';
import type { PoolId, UpstreamId } from '../lib/ids.ts';
import type { PieceFailure } from './PIECE_FAILURE.ts';
import type { PlannedPiece } from './planBatches.ts';

/** One piece in the form that is sent to the upstream. */
export interface StageItem {
  readonly requestId: string;
  readonly stageIndex: number;
  readonly pieceIndex: number;
  readonly remainingMs: number;
  /** Key of the input of a stage that depends on no other stage; null for other stages. */
  readonly key: string | null;
  /** Handles of the results that are its inputs. */
  readonly inputs: readonly string[];
}

/** One call to an upstream, with the pieces that share it. */
export interface StageCall {
  readonly poolId: PoolId;
  readonly makerId: UpstreamId;
  /** Start time of the upstream's process; null when it is not known. */
  readonly makerStartedAtMs: number | null;
  /** IP address and port of the upstream. */
  readonly address: string;
  readonly items: readonly StageItem[];
  readonly pieces: readonly PlannedPiece[];
  readonly startedAtMs: number;
  /** Duration by the pool's batch limits. */
  readonly expectedMs: number;
  /** Time after which the call is aborted. */
  readonly timeoutMs: number;
}

/** The outcome of one piece. */
export type PieceOutcome =
  | { readonly kind: 'result'; readonly handle: string }
  | { readonly kind: 'failure'; readonly failure: PieceFailure };

/** The outcome of a call, with the notice in its answer. */
export interface StageReply {
  readonly outcome: StageOutcome;
  readonly notice: UpstreamNotice;
  /** HTTP status of the answer; null when there was none. */
  readonly status: number | null;
}

/** The outcome of a call. */
export type StageOutcome =
  | { readonly kind: 'answered'; readonly pieces: readonly PieceOutcome[] }
  /** No byte of the call was written to a connection. */
  | { readonly kind: 'notSent'; readonly detail: string }
  /** The upstream was full, or another upstream has its address now. */
  | { readonly kind: 'notRun' }
  /** The call may have run, but there is no usable answer. */
  | { readonly kind: 'broken'; readonly detail: string };
