import type { Directory } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import type { MakerTable } from './MakerTable.ts';
import {
  isStageDone, type JobPiece, type JobStage, type PlacementJob,
} from './PlacementJob.ts';
import type { PlacementRates } from './PlacementRates.ts';
import type { StandingResult } from './PlacementRequest.ts';
import { resetPiece } from './resetPiece.ts';
import { getConsumers } from './stageBytes.ts';

const MS_PER_SECOND = 1_000;
/** Sends to an upstream that names a limit, of which one may free results. */
const SENDS_PER_RELEASE = 4;

/** What the results need from outside. */
export interface StageResultsOptions {
  readonly clock: Clock;
  readonly directory: Directory;
  /** Who keeps which result. */
  readonly makers: MakerTable;
  /** Says whether upstreams that name a limit may be sent to. */
  readonly rates: PlacementRates;
  /** Frees results at the upstream that keeps them. */
  readonly sendRelease: (makerId: UpstreamId, address: string, handles: readonly string[]) => void;
}

/** The results of stages: which stand, which are needed, and which are let go. */
export class StageResults {
  readonly #options: StageResultsOptions;

  readonly #toRelease = new Map<UpstreamId, string[]>();

  /** When results were last freed at upstreams that name a limit. */
  readonly #releasedAtMs = new Map<UpstreamId, number>();

  /**
   * @param parts - see {@link StageResultsOptions}
   */
  constructor(parts: StageResultsOptions) {
    this.#options = parts;
  }

  /**
   * Takes in results that another host has had made for a request.
   *
   * @param job - the request
   */
  takeOver(job: PlacementJob): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    job.request.standingResults.forEach((result) => {
      const stage = job.stages[result.stageIndex];
      const piece = stage?.pieces[result.pieceIndex];
      const isThere = this.#options.directory.getUpstream(result.makerId) !== undefined;
      if (stage !== undefined && piece !== undefined && isThere) {
        const lapsesAtMs = nowMs + result.remainingTtlMs;
        this.#options.makers.hold(result.makerId, result.handle, stage.resultBytes, lapsesAtMs);
        Object.assign(piece, { state: 'done', handle: result.handle, makerId: result.makerId });
      }
    });
    // Results that were freed, since all that need them are done, are not missing.
    [...job.stages].reverse().forEach((stage) => {
      const consumers = getConsumers(job, stage);
      if (consumers.length > 0 && consumers.every(isStageDone)) {
        stage.pieces.forEach((piece) => Object.assign(piece, { state: 'done' }));
      }
    });
  }

  /**
   * Lets go of results, which go on to stand for the host that places their request next.
   *
   * @param job - a request none of whose pieces is being made
   * @returns what stands of it
   */
  handOver(job: PlacementJob): StandingResult[] {
    const nowMs = this.#options.clock.getMonotonicMs();
    const results = job.stages.flatMap((stage) => stage.pieces.flatMap((piece) => {
      const lapsesAtMs = piece.handle === null ? null : this.#options.makers.getExpiryMs(piece.handle);
      return piece.handle === null || piece.makerId === null || lapsesAtMs === null ? [] : [{
        stageIndex: stage.index,
        pieceIndex: piece.index,
        handle: piece.handle,
        makerId: piece.makerId,
        remainingTtlMs: Math.max(0, lapsesAtMs - nowMs),
      }];
    }));
    this.#options.makers.removeResults(results.map(({ handle }) => handle));
    job.stages.forEach((stage) => stage.pieces.forEach((piece) => resetPiece(piece, null)));
    return results;
  }

  /**
   * Opens pieces again whose results are needed and don't stand any more.
   *
   * @param job - a request whose stages are not all done
   */
  reopenMissing(job: PlacementJob): void {
    // A stage comes after those it needs, so that one pass from the end reaches all of them.
    [...job.stages].reverse().forEach((stage) => {
      const consumers = getConsumers(job, stage);
      if (consumers.length === 0 || consumers.some((consumer) => !isStageDone(consumer))) {
        stage.pieces
          .filter((piece) => piece.state === 'done'
            && (piece.handle === null || !this.#options.makers.isHeld(piece.handle)))
          .forEach((piece) => resetPiece(piece, 'resultGone'));
      }
    });
  }

  /** @param makerId - an upstream that is gone; nothing is to be freed there */
  removeMaker(makerId: UpstreamId): void {
    this.#toRelease.delete(makerId);
    this.#releasedAtMs.delete(makerId);
  }

  /** @param job - a request one of whose stages is done; what that needed is freed */
  releaseUnneeded(job: PlacementJob): void {
    job.stages.forEach((stage) => {
      const consumers = getConsumers(job, stage);
      if (consumers.length > 0 && consumers.every(isStageDone)) {
        this.releaseStage(stage);
      }
    });
  }

  /** @param stage - a stage whose results nobody needs */
  releaseStage(stage: JobStage): void {
    stage.pieces.forEach((piece) => this.releasePiece(piece));
  }

  /** @param piece - a piece whose result nobody needs */
  releasePiece(piece: JobPiece): void {
    if (piece.handle === null) {
      return;
    }
    const makerId = this.#options.makers.startRelease(piece.handle);
    if (makerId !== null) {
      this.#toRelease.set(makerId, [...this.#toRelease.get(makerId) ?? [], piece.handle]);
    }
    piece.handle = null;
  }

  /** Frees what nobody needs, where its upstream wants to hear of it now. */
  flushReleases(): void {
    const { directory, sendRelease: sendFree } = this.#options;
    this.#toRelease.forEach((handles, makerId) => {
      const upstream = directory.getUpstream(makerId);
      if (directory.isBackingOff(makerId)
        || (upstream !== undefined && !this.#mayRelease(upstream.entry))) {
        return;
      }
      this.#toRelease.delete(makerId);
      if (upstream !== undefined) {
        sendFree(makerId, upstream.entry.address, handles);
      }
    });
  }

  /** Results lapse by themselves, so that calls go before them where an upstream names a limit. */
  #mayRelease(entry: UpstreamEntry): boolean {
    const { clock, rates } = this.#options;
    if (!rates.isLimited(entry)) {
      return true;
    }
    const nowMs = clock.getMonotonicMs();
    const pauseMs = (SENDS_PER_RELEASE * MS_PER_SECOND) / rates.getRatePerSecond(entry);
    const isDue = nowMs - (this.#releasedAtMs.get(entry.id) ?? -Infinity) >= pauseMs;
    if (!isDue || !rates.tryTakePermit(entry)) {
      return false;
    }
    this.#releasedAtMs.set(entry.id, nowMs);
    return true;
  }
}
