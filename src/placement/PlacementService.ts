import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { UpstreamNoticeHandler } from '../directory/UpstreamNoticeHandler.ts';
import type { UpstreamId } from '../lib/ids.ts';
import type { UpstreamObserver } from '../reachability/ReachabilityMonitor.ts';
import type { QuotaBorrower } from '../quotas/QuotaBorrower.ts';
import type { Clock } from '../time/Clock.ts';
import type { EngineFigures } from './EngineRoom.ts';
import type { MakerRollouts } from './MakerRollouts.ts';
import type { PieceRetryBudget } from './PieceRetryBudget.ts';
import type { PlacementRates } from './PlacementRates.ts';
import { getRunDelayMs } from './getRunDelayMs.ts';
import { PlacementCoordinator } from './PlacementCoordinator.ts';
import type { StageCall } from './StageCall.ts';
import type { StageCaller } from './StageCaller.ts';

/** Interval between two runs of the coordinator while requests wait. */
const TICK_MS = 20;

/** Dependencies of a {@link PlacementService}. */
export interface PlacementServiceOptions {
  readonly clock: Clock;
  /** The known upstreams. */
  readonly directory: Directory;
  /** Sends the calls of stages. */
  readonly caller: StageCaller;
  /** Processes the notices in the answers of upstreams. */
  readonly notices: UpstreamNoticeHandler;
  /** Limits how many pieces are retried. */
  readonly retryBudget: PieceRetryBudget;
  /** Knows the permits for upstreams that advertise limits. */
  readonly rates: PlacementRates;
  /**
   * Reads what an engine says that it holds.
   *
   * @param entry - the engine
   * @returns its figures; null when it gave none
   */
  readonly readEngineFigures: (entry: UpstreamEntry) => Promise<EngineFigures | null>;
  /** Restricts the makers of pools that move to another software version. */
  readonly rollouts: MakerRollouts;
  /** Grants sends to upstreams with a cold start limit. */
  readonly quotas: Pick<QuotaBorrower, 'isOpenTo' | 'setOpen' | 'take'>;
  /** Largest number of pieces of all requests that the coordinator holds. */
  readonly maxHeldPieces: number;
  /** Largest number of prompt parts that it takes for cached, of all engines together. */
  readonly maxCachedParts: number;
  /** Learns from calls whether this host reaches upstreams. */
  readonly reachability: UpstreamObserver;
  /** Logs the decisions. */
  readonly logger: Logger;
}

/** Runs a {@link PlacementCoordinator}: sends its calls, and runs it on events and timers. */
export class PlacementService {
  readonly #clock: Clock;

  readonly #caller: StageCaller;

  readonly #logger: Logger;

  readonly #retryBudget: PieceRetryBudget;

  readonly #directory: Directory;

  readonly #reachability: UpstreamObserver;

  readonly #notices: UpstreamNoticeHandler;

  readonly #readEngineFigures: PlacementServiceOptions['readEngineFigures'];

  readonly #rollouts: MakerRollouts;

  /** Null while no request waits, so that an idle host has no timer. */
  #timer: NodeJS.Timeout | null = null;

  #pendingRun: NodeJS.Timeout | null = null;

  /** Time that the last run took. */
  #lastRunMs = 0;

  /** Makes the placement decisions. */
  readonly coordinator: PlacementCoordinator;

  /**
   * @param options - see {@link PlacementServiceOptions}
   */
  constructor({
    clock, directory, caller, notices, retryBudget, rates, rollouts, reachability,
    readEngineFigures, quotas, maxHeldPieces, maxCachedParts, logger,
  }: PlacementServiceOptions) {
    this.#reachability = reachability;
    this.#rollouts = rollouts;
    this.#directory = directory;
    this.#notices = notices;
    this.#clock = clock;
    this.#caller = caller;
    this.#readEngineFigures = readEngineFigures;
    this.#logger = logger;
    this.#retryBudget = retryBudget;
    this.coordinator = new PlacementCoordinator({
      clock,
      directory,
      logger,
      retryBudget,
      rates,
      rollouts,
      quotas,
      maxHeldPieces,
      maxCachedParts,
      sendCall: (call) => this.#send(call),
      sendRelease: (_makerId, address, handles) => this.#release(address, handles),
      requestEngineReport: (engineId) => this.#readFigures(engineId),
      requestRun: () => this.#requestRun(),
    });
  }

  /** Cancels the timers. */
  close(): void {
    clearTimeout(this.#timer ?? undefined);
    clearTimeout(this.#pendingRun ?? undefined);
  }

  #requestRun(): void {
    this.#pendingRun ??= setTimeout(() => {
      this.#pendingRun = null;
      this.#run();
    }, getRunDelayMs(this.#lastRunMs));
  }

  /** Runs the coordinator, and schedules the next run while requests wait. */
  #run(): void {
    const startedAtMs = this.#clock.getMonotonicMs();
    this.coordinator.run();
    this.#lastRunMs = this.#clock.getMonotonicMs() - startedAtMs;
    if (this.coordinator.waitingCount > 0) {
      this.#timer ??= setTimeout(() => {
        this.#timer = null;
        this.#run();
      }, TICK_MS);
    }
  }

  /** Logs the pieces of a call that are retries. */
  #logRetries(call: StageCall): void {
    const retried = call.pieces.filter(({ piece }) => piece.sendCount > 1);
    if (retried.length > 0) {
      this.#logger.info({
        event: 'piecesRetried',
        poolId: call.poolId,
        makerId: call.makerId,
        left: this.#retryBudget.getRetriesLeft(call.poolId),
        pieces: retried.map(({ job, stage, piece }) => ({
          requestId: job.request.requestId,
          stageIndex: stage.index,
          pieceIndex: piece.index,
          reason: piece.retryReason,
          sendCount: piece.sendCount,
        })),
      }, 'sent pieces of stages again');
    }
  }

  #send(call: StageCall): void {
    this.#logRetries(call);
    this.#reachability.recordSend(call.makerId);
    const recordOutcome = this.#rollouts.startCall(call);
    const mayStart = (): boolean => this.#directory.isUsable(call.makerId);
    this.#caller.run(call, mayStart).then(({ outcome, notice, status }) => {
      if (status !== null) {
        this.#reachability.recordAnswer(call.makerId);
      } else if (outcome.kind === 'notSent') {
        this.#reachability.recordUnreachable(call.makerId);
      }
      this.#notices.handle({ id: call.makerId, startedAtMs: call.makerStartedAtMs }, notice, {
        requestId: call.items[0]?.requestId ?? '',
        status: status ?? 0,
        sentAtMs: call.startedAtMs,
      });
      const level = outcome.kind === 'answered' ? 'debug' : 'info';
      this.#logger[level]({
        event: 'stageCallEnded',
        makerId: call.makerId,
        pieceCount: call.items.length,
        expectedMs: Math.round(call.expectedMs),
        outcome,
      }, 'a stage call ended');
      recordOutcome?.(outcome);
      this.coordinator.finishCall(call, outcome);
    }).catch((error: unknown) => {
      this.#logger.error(
        { event: 'stageCallFailed', error: String(error) },
        'processing the outcome of a stage call failed',
      );
    });
  }

  #readFigures(engineId: UpstreamId): void {
    const entry = this.#directory.getUpstream(engineId)?.entry;
    if (entry === undefined) {
      return;
    }
    this.#readEngineFigures(entry).then((figures) => {
      this.#logger.info(
        { event: 'engineFiguresRead', upstreamId: engineId, figures },
        'read what an engine holds, since this host has begun to place for others',
      );
      this.coordinator.room.recordFigures(engineId, figures);
      this.#requestRun();
    }).catch((error: unknown) => {
      this.#logger.error(
        { event: 'engineFiguresFailed', upstreamId: engineId, error: String(error) },
        'reading what an engine holds failed',
      );
    });
  }

  #release(address: string, handles: readonly string[]): void {
    const releasing = this.#caller.release(address, handles);
    releasing.then(() => this.coordinator.recordReleased(handles)).catch((error: unknown) => {
      this.#logger.debug(
        {
          event: 'freeFailed', address, handles, error: String(error),
        },
        'the upstream did not release stage results; they expire there',
      );
    });
  }
}
