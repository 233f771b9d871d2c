import { pino } from 'pino';
import { Directory } from '../../src/directory/Directory.ts';
import {
  EXECUTION_SEMANTICS, type BatchLimits, type EngineLimits, type ServingPool, type ServingRoute,
} from '../../src/directory/ServingConfiguration.ts';
import {
  toId, type HostId, type PoolId, type UpstreamId,
} from '../../src/lib/ids.ts';
import type { PieceRetryBudget } from '../../src/placement/PieceRetryBudget.ts';
import type { PlacementRates } from '../../src/placement/PlacementRates.ts';
import { PlacementCoordinator } from '../../src/placement/PlacementCoordinator.ts';
import type { PlacementRequest, PlacementResult } from '../../src/placement/PlacementRequest.ts';
import type { PieceOutcome, StageCall } from '../../src/placement/StageCall.ts';
import { ManualClock } from '../../src/time/ManualClock.ts';
import { NO_MAKER_ROLLOUTS } from './NO_MAKER_ROLLOUTS.ts';
import { UNLIMITED_QUOTAS } from './UNLIMITED_QUOTAS.ts';
import { UNLIMITED_RATES } from './UNLIMITED_RATES.ts';
import { UNLIMITED_RETRIES } from './UNLIMITED_RETRIES.ts';

/** Largest number of pieces that the coordinator of a test bed holds. */
export const MAX_HELD_PIECES = 10_000;

/** Largest number of prompt parts that the coordinator of a test bed takes for cached. */
export const MAX_CACHED_PARTS = 50_000;

/** Pool of the engines in every test bed. */
export const ENGINE_POOL_ID = toId<PoolId>('engines');

const DEFAULT_BATCH: BatchLimits = {
  callSlots: 1,
  maxPieces: 10,
  callMs: 200,
  pieceMs: 10,
  roomBytes: 1_000_000,
  resultTtlMs: 4_000,
};

const DEFAULT_ENGINE_LIMITS: EngineLimits = { slots: 8, memoryTokens: 100_000 };

function createPool(
  id: PoolId,
  batch: BatchLimits | null,
  engineLimits = DEFAULT_ENGINE_LIMITS,
): ServingPool {
  return {
    id,
    healthPath: '/health',
    maxConnections: 100,
    coldRequestsPerSecond: 0,
    batch,
    engine: batch === null ? engineLimits : null,
  };
}

/** Placement coordinator and its upstreams under a manual clock; the test answers the calls. */
export class PlacementTestBed {
  readonly clock = new ManualClock();

  readonly directory = new Directory(this.clock);

  readonly calls: StageCall[] = [];

  readonly released: string[] = [];

  /** Whether the test answers requests for reports; otherwise engines give none. */
  isReporting = false;

  /** Engines whose report the coordinator has requested. */
  readonly requestedReports: UpstreamId[] = [];

  readonly results = new Map<string, PlacementResult>();

  readonly coordinator: PlacementCoordinator;

  /** The log lines of the coordinator since `startLogging`. */
  readonly lines: Record<string, unknown>[] = [];

  readonly #logger = pino({ level: 'silent' }, {
    write: (line: string) => this.lines.push(JSON.parse(line) as Record<string, unknown>),
  });

  readonly #pools: ReadonlyMap<PoolId, ServingPool>;

  #handleCount = 0;

  #version = 0;

  /**
   * @param stagePools - number of makers and batch limits of each stage pool, by its name
   * @param engineCount - the number of engines
   * @param createRetryBudget - creates the bound on retries of pieces
   * @param createRates - creates the bound on sends to rate-limited upstreams
   * @param engineLimits - the capacity of each engine
   */
  constructor(
    stagePools: Readonly<Record<string, { makers: number; batch?: Partial<BatchLimits> }>>,
    engineCount = 1,
    createRetryBudget: (clock: ManualClock, directory: Directory) => PieceRetryBudget = (
      () => UNLIMITED_RETRIES),
    createRates: (clock: ManualClock, directory: Directory) => PlacementRates = (
      () => UNLIMITED_RATES),
    engineLimits: EngineLimits = DEFAULT_ENGINE_LIMITS,
  ) {
    this.coordinator = new PlacementCoordinator({
      clock: this.clock,
      directory: this.directory,
      logger: this.#logger,
      retryBudget: createRetryBudget(this.clock, this.directory),
      rates: createRates(this.clock, this.directory),
      rollouts: NO_MAKER_ROLLOUTS,
      quotas: UNLIMITED_QUOTAS,
      maxHeldPieces: MAX_HELD_PIECES,
      maxCachedParts: MAX_CACHED_PARTS,
      sendCall: (call) => this.calls.push(call),
      sendRelease: (_makerId, _address, handles) => this.released.push(...handles),
      requestEngineReport: (engineId) => {
        if (this.isReporting) {
          this.requestedReports.push(engineId);
        } else {
          this.coordinator.room.recordFigures(engineId, null);
        }
      },
      requestRun: () => this.coordinator.run(),
    });
    const pools = Object.entries(stagePools)
      .map(([name, { batch }]) => createPool(toId<PoolId>(name), { ...DEFAULT_BATCH, ...batch }));
    this.#pools = new Map([...pools, createPool(ENGINE_POOL_ID, null, engineLimits)]
      .map((pool) => [pool.id, pool]));
    this.#setRoutes([]);
    Object.entries(stagePools).forEach(([name, { makers }]) => {
      this.#addUpstreams(toId<PoolId>(name), makers);
    });
    this.#addUpstreams(ENGINE_POOL_ID, engineCount);
  }

  /**
   * Applies a configuration with one route that has a stage in each given pool.
   *
   * @param poolNames - names of the stage pools
   */
  setStagedRoute(poolNames: readonly string[]): void {
    this.#setRoutes([{
      name: 'route',
      host: '',
      pathPrefix: '/',
      executionSemantics: EXECUTION_SEMANTICS.once,
      isStream: true,
      isResumable: false,
      timeoutMs: 6_000,
      targetLatencyMs: 2_000,
      gapTargetMs: 400,
      callerPatienceMs: 8_000,
      priority: 0,
      maxAttempts: 1,
      targets: [{ poolId: ENGINE_POOL_ID, weight: 1 }],
      stages: poolNames.map((name) => ({ poolId: toId(name), after: [], resultBytes: 1 })),
      isPublic: true,
    }]);
  }

  /** @param request - fields that differ from a request without stages */
  place(request: Partial<PlacementRequest> & { readonly requestId: string }): () => void {
    // The answer must not keep the whole request in memory.
    const { requestId } = request;
    return this.coordinator.place({
      domains: ['a', 'b', 'c'],
      standingResults: [],
      hostId: toId<HostId>('host'),
      limitReports: [],
      openGenerations: [],
      account: null,
      kind: '',
      poolId: ENGINE_POOL_ID,
      stages: [],
      pieceCounts: (request.stages ?? []).map(() => 1),
      pieceKey: 'key',
      parts: [],
      promptTokens: 100,
      maxOutputTokens: 10,
      priority: 0,
      onTimeMs: 2_000,
      remainingMs: 6_000,
      excludedIds: [],
      softwareVersion: null,
      isPlacedAgain: false,
      ...request,
    }, (result) => this.results.set(requestId, result));
  }

  /** Keeps the log lines of the coordinator from now on. */
  startLogging(): void {
    this.#logger.level = 'info';
  }

  /** @param name - id of an engine that joins now */
  addEngine(name: string): void {
    this.#addUpstream(ENGINE_POOL_ID, name, 'a');
  }

  /** @returns the calls sent since the last call of this method */
  takeCalls(): StageCall[] {
    return this.calls.splice(0);
  }

  /**
   * Answers a call with a result for each piece, after its expected duration.
   *
   * @param call - the call
   */
  complete(call: StageCall): void {
    this.clock.advance(call.expectedMs);
    this.answer(call, call.items.map(() => {
      this.#handleCount += 1;
      return { kind: 'result', handle: `${call.makerId}/${this.#handleCount}` };
    }));
  }

  /**
   * @param call - the call
   * @param pieces - outcomes of its pieces
   */
  answer(call: StageCall, pieces: readonly PieceOutcome[]): void {
    this.coordinator.finishCall(call, { kind: 'answered', pieces });
  }

  #setRoutes(routes: readonly ServingRoute[]): void {
    this.#version += 1;
    this.directory.apply({
      kind: 'configuration',
      configuration: {
        version: this.#version,
        routes,
        pools: this.#pools,
        accountsByKey: null,
        callerLimits: {
          maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
        },
      },
    });
  }

  #addUpstreams(poolId: PoolId, count: number): void {
    Array.from({ length: count }, (_, index) => index).forEach((index) => {
      this.#addUpstream(poolId, `${poolId}-${index}`, 'abc'[index % 3] ?? 'a');
    });
  }

  #addUpstream(poolId: PoolId, name: string, failureDomain: string): void {
    this.directory.apply({
      kind: 'upstream',
      entry: {
        id: toId<UpstreamId>(name),
        poolId,
        address: `${name}:1`,
        failureDomain,
        isDraining: false,
        slots: 1,
        softwareVersion: 'v1',
        coldRemainingMs: 0,
        startedAtMs: null,
      },
    });
  }
}
