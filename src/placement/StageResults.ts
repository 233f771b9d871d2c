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
/** One of this many sends to an upstream that advertises a limit may release results. */
const SENDS_PER_RELEASE = 4;

/** Dependencies of a {@link StageResults}. */
export interface StageResultsOptions {
  readonly clock: Clock;
  readonly directory: Directory;
  /** Knows which upstream stores which result. */
  readonly makers: MakerTable;
  /** Knows the permits for upstreams that advertise limits. */
  readonly rates: PlacementRates;
  /** Releases results at the upstream that stores them. */
  readonly sendRelease: (makerId: UpstreamId, address: string, handles: readonly string[]) => void;
}

/** Tracks which results of stages exist, which are needed, and which are to be released. */
export class StageResults {
  readonly #options: StageResultsOptions;

  readonly #toRelease = new Map<UpstreamId, string[]>();

  /** When results were last released at each upstream that advertises a limit. */
  readonly #releasedAtMs = new Map<UpstreamId, number>();

  /**
   * @param options - see {@link StageResultsOptions}
   */
  constructor(options: StageResultsOptions) {
    this.#options = options;
  }

  /**
   * Adopts the results that a request has from another coordinator.
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
        const expiresAtMs = nowMs + result.remainingTtlMs;
        this.#options.makers.hold(result.makerId, result.handle, stage.resultBytes, expiresAtMs);
        Object.assign(piece, { state: 'done', handle: result.handle, makerId: result.makerId });
      }
    });
    // Results released because all their consumers are done are not missing.
    [...job.stages].reverse().forEach((stage) => {
      const consumers = getConsumers(job, stage);
      if (consumers.length > 0 && consumers.every(isStageDone)) {
        stage.pieces.forEach((piece) => Object.assign(piece, { state: 'done' }));
      }
    });
  }

  /**
   * Gives up a request's results without releasing them, for the next coordinator to adopt.
   *
   * @param job - a request without a running piece
   * @returns its existing results
   */
  handOver(job: PlacementJob): StandingResult[] {
    const nowMs = this.#options.clock.getMonotonicMs();
    const results = job.stages.flatMap((stage) => stage.pieces.flatMap((piece) => {
      const expiresAtMs = piece.handle === null
        ? null
        : this.#options.makers.getExpiryMs(piece.handle);
      return piece.handle === null || piece.makerId === null || expiresAtMs === null ? [] : [{
        stageIndex: stage.index,
        pieceIndex: piece.index,
        handle: piece.handle,
        makerId: piece.makerId,
        remainingTtlMs: Math.max(0, expiresAtMs - nowMs),
      }];
    }));
    this.#options.makers.removeResults(results.map(({ handle }) => handle));
    job.stages.forEach((stage) => stage.pieces.forEach((piece) => resetPiece(piece, null)));
    return results;
  }

  /**
   * Resets pieces to waiting whose results are needed and no longer exist.
   *
   * @param job - a request whose stages are not all done
   */
  reopenMissing(job: PlacementJob): void {
    // Stages follow their dependencies, so that one backward pass reaches all of them.
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

  /** @param makerId - an upstream that is gone; its pending releases are dropped */
  removeMaker(makerId: UpstreamId): void {
    this.#toRelease.delete(makerId);
    this.#releasedAtMs.delete(makerId);
  }

  /** @param job - a request with a finished stage; results that no stage needs are released */
  releaseUnneeded(job: PlacementJob): void {
    job.stages.forEach((stage) => {
      const consumers = getConsumers(job, stage);
      if (consumers.length > 0 && consumers.every(isStageDone)) {
        this.releaseStage(stage);
      }
    });
  }

  /** @param stage - a stage whose results are not needed any more */
  releaseStage(stage: JobStage): void {
    stage.pieces.forEach((piece) => this.releasePiece(piece));
  }

  /** @param piece - a piece whose result is not needed any more */
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

  /** Sends the pending releases, except to upstreams that back off or have no permit for them. */
  flushReleases(): void {
    const { directory, sendRelease } = this.#options;
    this.#toRelease.forEach((handles, makerId) => {
      const upstream = directory.getUpstream(makerId);
      if (directory.isBackingOff(makerId)
        || (upstream !== undefined && !this.#mayRelease(upstream.entry))) {
        return;
      }
      this.#toRelease.delete(makerId);
      if (upstream !== undefined) {
        sendRelease(makerId, upstream.entry.address, handles);
      }
    });
  }

  /** Limits releases at an upstream with a limit: results expire anyway, so calls have priority. */
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
