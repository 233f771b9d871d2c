import type { CallerRequest } from '../ingress/CallerRequest.ts';
import type { UpstreamId } from '../lib/ids.ts';
import type {
  FinalPlacementResult, RunningPlacement, ToldLoad,
} from '../placement/PlacementSearch.ts';
import type { PlacementReport } from '../placement/PlacementRequest.ts';
import { createPlacementDemand } from './createPlacementDemand.ts';
import type { RelayContext, RelayParameters } from './RelayContext.ts';
import type { RelayedStreamVersion } from './RelayedStreamVersion.ts';
import type { ReportedLoad } from './UpstreamProtocol.ts';

/** The choice of an engine for a generation. */
export type Placed = Extract<FinalPlacementResult, { kind: 'placed' }>;

/** Receives the outcome of a placement. */
export interface PlacementListener {
  /** @param placed - the engine that was chosen */
  readonly onPlaced: (placed: Placed) => void;
  /**
   * @param reason - why no engine was chosen
   * @param retryAfterMs - time after which a retry may succeed; null when none will
   */
  readonly onRefused: (reason: string, retryAfterMs: number | null) => void;
}

/** Options of a {@link GenerationPlacement}. */
export interface GenerationPlacementOptions {
  readonly context: Pick<RelayContext, 'clock' | 'directory' | 'placementClient'>;
  readonly parameters: RelayParameters;
  readonly request: CallerRequest;
  /** The engines at which the stream may begin or go on. */
  readonly version: RelayedStreamVersion;
  readonly listener: PlacementListener;
  /** Logs an event of the request. */
  readonly log: (outcome: string, details?: Readonly<Record<string, unknown>>) => void;
}

/** Progress of a generation when it is placed. */
export interface GenerationProgress {
  /** Whether an attempt ran or may have run. */
  readonly mayHaveRun: boolean;
  /** When the caller last received an event; the arrival of the request before the first one. */
  readonly lastEventAtMs: number;
}

/** Retry-After when the cause is expected to be brief. */
const SHORT_RETRY_AFTER_MS = 200;
/** Interval at which a pool is checked again whose versions the store does not have yet. */
const RECORD_RECHECK_MS = 20;
/** Time after its arrival for which a request waits for that record. */
const MAX_RECORD_WAIT_MS = 1_000;

/**
 * Places one generation: waits until an engine of its pool is open to this host, asks the placement
 * coordinator to choose one, and reports to the coordinator what became of the request there.
 */
export class GenerationPlacement {
  readonly #options: GenerationPlacementOptions;

  readonly #excludedIds = new Set<UpstreamId>();

  #running: RunningPlacement | null = null;

  /** Engine that was chosen and that the coordinator counts the request at. */
  #engineId: UpstreamId | null = null;

  /** What that engine has told of its load and was not reported yet. */
  #load: ToldLoad = {};

  #timer: NodeJS.Timeout | null = null;

  #isClosed = false;

  /**
   * @param options - see {@link GenerationPlacementOptions}
   */
  constructor(options: GenerationPlacementOptions) {
    this.#options = options;
  }

  /** Engine that was chosen; null while there is none. */
  get engineId(): UpstreamId | null {
    return this.#engineId;
  }

  /** Engines that must not be chosen, such as those that failed the request. */
  get excludedIds(): ReadonlySet<UpstreamId> {
    return this.#excludedIds;
  }

  /** @param engineId - an engine that must not be chosen from now on */
  exclude(engineId: UpstreamId): void {
    this.#excludedIds.add(engineId);
  }

  /**
   * Requests a placement; the listener gets its outcome.
   *
   * @param progress - the progress of the generation
   */
  place(progress: GenerationProgress): void {
    if (this.#isClosed) {
      return;
    }
    const { context: { directory }, parameters: { poolId }, version } = this.#options;
    const opensInMs = directory.getTimeUntilUsableMs(poolId) ?? 0;
    if (opensInMs > 0) {
      this.#waitUntilOpen(opensInMs, progress);
    } else if (version.isVersionGone(this.#excludedIds)) {
      this.#refuse('version-gone', null);
    } else if (this.#hasNoEngineLeft(progress)) {
      this.#refuse('engines-full', SHORT_RETRY_AFTER_MS);
    } else if (version.isAwaitingRecord) {
      this.#waitForRecord(progress);
    } else {
      this.#query(progress);
    }
  }

  /** @param load - the load that the chosen engine tells; passed on with the next report */
  recordLoad(load: ReportedLoad | null): void {
    this.#load = load === null ? {} : {
      heldCount: load.runningCount + load.waitingCount,
      ...(load.workTimeFactor === null ? {} : { workTimeFactor: load.workTimeFactor }),
    };
  }

  /**
   * Reports the progress of the request at the chosen engine to the coordinator.
   *
   * @param kind - see {@link PlacementReport}
   */
  report(kind: PlacementReport['kind']): void {
    if (this.#engineId === null) {
      return;
    }
    this.#running?.report(kind, this.#engineId, this.#load);
    this.#load = {};
    if (kind !== 'started') {
      this.#engineId = null;
    }
  }

  /** Withdraws the request if it waits; the listener is not called any more. */
  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#timer ?? undefined);
    this.#running?.cancel();
  }

  #refuse(reason: string, retryAfterMs: number | null): void {
    this.#options.listener.onRefused(reason, retryAfterMs);
  }

  #query(progress: GenerationProgress): void {
    const {
      context: { clock, directory, placementClient }, parameters, request, version, log,
    } = this.#options;
    const nowMs = clock.getMonotonicMs();
    const running = placementClient.place(createPlacementDemand(parameters, {
      profile: request.profile,
      waitedMs: nowMs - request.arrivedAtMs,
      remainingMs: parameters.deadlineAtMs - nowMs,
      silentMs: nowMs - progress.lastEventAtMs,
      // The placement coordinator does not know the notices that this host has received.
      excludedIds: [...new Set([
        ...this.#excludedIds,
        ...directory.getClosedIds(parameters.poolId),
        ...version.getUnfitIds(),
      ])],
      softwareVersion: version.required,
      isPlacedAgain: this.#running !== null,
    }));
    this.#running = running;
    running.result.then((result) => this.#handleResult(running, result))
      .catch((error: unknown) => {
        log('placement-failed', { error: String(error) });
        this.#refuse('placement-failed', SHORT_RETRY_AFTER_MS);
      });
  }

  #handleResult(running: RunningPlacement, result: FinalPlacementResult): void {
    if (result.kind === 'placed' && this.#isClosed) {
      running.report('ended', result.upstreamId, {});
    } else if (result.kind === 'placed') {
      this.#engineId = result.upstreamId;
      this.#options.listener.onPlaced(result);
    } else {
      this.#refuse(result.reason, result.retryAfterMs);
    }
  }

  /** Whether the request has not run, and each engine has refused it or could not be reached. */
  #hasNoEngineLeft({ mayHaveRun }: GenerationProgress): boolean {
    const { context: { directory }, parameters: { poolId } } = this.#options;
    const usable = directory.getUsable(poolId);
    return !mayHaveRun
      && usable.length > 0
      && usable.every(({ entry }) => this.#excludedIds.has(entry.id));
  }

  /** Waits until the store has recorded at which versions streams of the pool may begin. */
  #waitForRecord(progress: GenerationProgress): void {
    const { context: { clock }, request } = this.#options;
    if (clock.getMonotonicMs() - request.arrivedAtMs >= MAX_RECORD_WAIT_MS) {
      this.#refuse('versions-not-recorded', SHORT_RETRY_AFTER_MS);
      return;
    }
    this.#timer = setTimeout(() => this.place(progress), RECORD_RECHECK_MS);
  }

  /** Waits until the first engine opens, because all engines are closed to this host. */
  #waitUntilOpen(opensInMs: number, progress: GenerationProgress): void {
    const {
      context: { clock, directory }, parameters: { poolId, deadlineAtMs }, log,
    } = this.#options;
    const closedIds = directory.getClosedIds(poolId);
    if (opensInMs >= deadlineAtMs - clock.getMonotonicMs()) {
      log('poolClosed', { poolId, opensInMs, closedIds });
      this.#refuse('no-upstream-open', opensInMs);
      return;
    }
    log('waitsForUpstream', { poolId, opensInMs, closedIds });
    this.#timer = setTimeout(() => this.place(progress), opensInMs);
  }
}
