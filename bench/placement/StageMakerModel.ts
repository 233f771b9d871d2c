import type { BatchLimits } from '../../src/directory/ServingConfiguration.ts';
import type { RandomSource } from '../../src/lib/RandomSource.ts';
import { PIECE_FAILURE } from '../../src/placement/PIECE_FAILURE.ts';
import type { PieceOutcome, StageCall } from '../../src/placement/StageCall.ts';
import type { EventQueue } from '../load/EventQueue.ts';

/** Maximum relative deviation of a piece from the declared time. */
const PIECE_SPREAD = 0.4;
/** One-way delay between hosts. */
const HOP_MS = 1;

interface StoredResult {
  readonly bytes: number;
  readonly workMs: number;
  isUsed: boolean;
}

/** A simulated maker: it runs one call at a time and has limited memory for results. */
export class StageMakerModel {
  readonly #limits: BatchLimits;

  readonly #events: EventQueue;

  readonly #random: RandomSource;

  readonly #results = new Map<string, StoredResult>();

  #freeAtMs = 0;

  #usedBytes = 0;

  #resultCount = 0;

  /** Time spent on results that were never used. */
  wastedMs = 0;

  /** Total time spent on calls. */
  busyMs = 0;

  /**
   * @param limits - batch limits of the pool
   * @param events - schedules the answers
   * @param random - source of the variation of piece times
   */
  constructor(limits: BatchLimits, events: EventQueue, random: RandomSource) {
    this.#limits = limits;
    this.#events = events;
    this.#random = random;
  }

  /**
   * Runs a batched call after the calls before it.
   *
   * @param call - the call
   * @param answer - called with the outcomes of its pieces
   */
  run(call: StageCall, answer: (outcomes: PieceOutcome[]) => void): void {
    const waitMs = Math.max(HOP_MS, this.#freeAtMs - this.#events.nowMs);
    const startAtMs = this.#events.nowMs + waitMs;
    this.#freeAtMs = startAtMs + call.expectedMs;
    this.#events.after(waitMs, () => this.#work(call, answer));
  }

  /**
   * Releases results.
   *
   * @param handles - handles of results that are no longer needed
   */
  release(handles: readonly string[]): void {
    handles.forEach((handle) => this.#discard(handle));
  }

  /**
   * Records that results were used as inputs.
   *
   * @param handles - handles of the results
   */
  recordUsed(handles: readonly string[]): void {
    handles.forEach((handle) => {
      const result = this.#results.get(handle);
      if (result !== undefined) {
        result.isUsed = true;
      }
    });
  }

  #work(call: StageCall, answer: (outcomes: PieceOutcome[]) => void): void {
    let elapsedMs = this.#limits.callMs;
    const outcomes = call.items.map((item, index): PieceOutcome => {
      if (item.remainingMs <= this.#events.nowMs - call.startedAtMs) {
        return { kind: 'failure', failure: PIECE_FAILURE.late };
      }
      const bytes = call.pieces[index]?.stage.resultBytes ?? 0;
      if (this.#usedBytes + bytes > this.#limits.roomBytes) {
        return { kind: 'failure', failure: PIECE_FAILURE.noRoom };
      }
      const spread = 1 + PIECE_SPREAD * (2 * this.#random.getFraction() - 1);
      const workMs = this.#limits.pieceMs * spread;
      elapsedMs += workMs;
      return { kind: 'result', handle: this.#store(call.makerId, bytes, workMs) };
    });
    this.busyMs += elapsedMs;
    this.#freeAtMs = this.#events.nowMs + elapsedMs;
    this.#events.after(elapsedMs + HOP_MS, () => answer(outcomes));
  }

  #store(makerId: string, bytes: number, workMs: number): string {
    this.#resultCount += 1;
    const handle = `${makerId}/${this.#resultCount}`;
    const sharedMs = this.#limits.callMs / this.#limits.maxPieces;
    this.#results.set(handle, { bytes, workMs: workMs + sharedMs, isUsed: false });
    this.#usedBytes += bytes;
    this.#events.after(this.#limits.resultTtlMs, () => this.#discard(handle));
    return handle;
  }

  #discard(handle: string): void {
    const result = this.#results.get(handle);
    if (result !== undefined) {
      this.#results.delete(handle);
      this.#usedBytes -= result.bytes;
      this.wastedMs += result.isUsed ? 0 : result.workMs;
    }
  }
}
