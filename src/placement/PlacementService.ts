import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { UpstreamNoticeHandler } from '../directory/UpstreamNoticeHandler.ts';
import type { Clock } from '../time/Clock.ts';
import type { PieceRetryBudget } from './PieceRetryBudget.ts';
import type { PlacementRates } from './PlacementRates.ts';
import { PlacementCoordinator } from './PlacementCoordinator.ts';
import type { StageCall } from './StageCall.ts';
import type { StageCaller } from './StageCaller.ts';

/** How often the desk looks for what fell due. */
const TICK_MS = 20;
/** Events that come within this time are answered by one run. */
const RUN_DELAY_MS = 3;

/** What the service is made of. */
export interface PlacementServiceOptions {
  readonly clock: Clock;
  /** What is known of upstreams. */
  readonly directory: Directory;
  /** Sends the calls. */
  readonly caller: StageCaller;
  /** Takes in what the upstreams say of themselves. */
  readonly notices: UpstreamNoticeHandler;
  /** Bounds how often pieces are sent again. */
  readonly retryBudget: PieceRetryBudget;
  /** Says whether upstreams that name a limit may be sent to. */
  readonly rates: PlacementRates;
  /** Gets the decisions. */
  readonly logger: Logger;
}

/** Runs a placement desk: sends its calls and wakes it. */
export class PlacementService {
  readonly #caller: StageCaller;

  readonly #logger: Logger;

  readonly #retryBudget: PieceRetryBudget;

  readonly #directory: Directory;

  readonly #notices: UpstreamNoticeHandler;

  /** Null while nothing waits, so that an idle host is not woken. */
  #timer: NodeJS.Timeout | null = null;

  #pendingRun: NodeJS.Timeout | null = null;

  /** What decides. */
  readonly coordinator: PlacementCoordinator;

  /**
   * @param parts - see {@link PlacementServiceOptions}
   */
  constructor({
    clock, directory, caller, notices, retryBudget: repeats, rates, logger,
  }: PlacementServiceOptions) {
    this.#directory = directory;
    this.#notices = notices;
    this.#caller = caller;
    this.#logger = logger;
    this.#retryBudget = repeats;
    this.coordinator = new PlacementCoordinator({
      clock,
      directory,
      logger,
      retryBudget: repeats,
      rates,
      sendCall: (call) => this.#send(call),
      sendRelease: (_makerId, address, handles) => this.#release(address, handles),
      requestRun: () => this.#requestRun(),
    });
  }

  /** Ends the ticks. */
  close(): void {
    clearTimeout(this.#timer ?? undefined);
    clearTimeout(this.#pendingRun ?? undefined);
  }

  #requestRun(): void {
    this.#pendingRun ??= setTimeout(() => {
      this.#pendingRun = null;
      this.#run();
    }, RUN_DELAY_MS);
  }

  /** Lets the desk do what is due, and comes back while something waits for its time. */
  #run(): void {
    this.coordinator.run();
    if (this.coordinator.waitingCount > 0) {
      this.#timer ??= setTimeout(() => {
        this.#timer = null;
        this.#run();
      }, TICK_MS);
    }
  }

  /** A line for the pieces of a call that were sent before. */
  #logRetries(call: StageCall): void {
    const repeated = call.pieces.filter(({ piece }) => piece.sendCount > 1);
    if (repeated.length > 0) {
      this.#logger.info({
        event: 'piecesRepeated',
        poolId: call.poolId,
        makerId: call.makerId,
        left: this.#retryBudget.getRetriesLeft(call.poolId),
        pieces: repeated.map(({ job, stage, piece }) => ({
          requestId: job.request.requestId,
          stageIndex: stage.index,
          pieceIndex: piece.index,
          reason: piece.retryReason,
          sendCount: piece.sendCount,
        })),
      }, 'sent pieces once more');
    }
  }

  #send(call: StageCall): void {
    this.#logRetries(call);
    const mayStart = (): boolean => this.#directory.isUsable(call.makerId);
    this.#caller.run(call, mayStart).then(({ outcome, notice, status }) => {
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
      this.coordinator.finishCall(call, outcome);
    }).catch((error: unknown) => {
      this.#logger.error(
        { event: 'stageCallFailed', error: String(error) },
        'taking in the end of a stage call failed',
      );
    });
  }

  #release(address: string, handles: readonly string[]): void {
    const freeing = this.#caller.release(address, handles);
    freeing.then(() => this.coordinator.recordReleased(handles)).catch((error: unknown) => {
      this.#logger.debug(
        {
          event: 'freeFailed', address, handles, error: String(error),
        },
        'results could not be freed; they lapse by themselves',
      );
    });
  }
}
