import { performance } from 'node:perf_hooks';
import { pino } from 'pino';
import { Directory } from '../../src/directory/Directory.ts';
import {
  EXECUTION_SEMANTICS, type ServingPool, type ServingRoute,
} from '../../src/directory/ServingConfiguration.ts';
import type { PromptPart } from '../../src/ingress/CallerRequest.ts';
import {
  toId, type HostId, type PoolId, type UpstreamId,
} from '../../src/lib/ids.ts';
import { SeededRandomSource } from '../../src/lib/SeededRandomSource.ts';
import { PlacementCoordinator } from '../../src/placement/PlacementCoordinator.ts';
import { findPlacementGroups, type PlacementGroup } from '../../src/placement/PlacementGroup.ts';
import type { PlacementResult } from '../../src/placement/PlacementRequest.ts';
import { orderGroups } from '../../src/placement/orderGroups.ts';
import { ManualClock } from '../../src/time/ManualClock.ts';
import { NO_MAKER_ROLLOUTS } from '../../test/support/NO_MAKER_ROLLOUTS.ts';
import { MAX_CACHED_PARTS, MAX_HELD_PIECES } from '../../test/support/PlacementTestBed.ts';
import { UNLIMITED_QUOTAS } from '../../test/support/UNLIMITED_QUOTAS.ts';
import { UNLIMITED_RATES } from '../../test/support/UNLIMITED_RATES.ts';
import { UNLIMITED_RETRIES } from '../../test/support/UNLIMITED_RETRIES.ts';
import { EventQueue } from '../load/EventQueue.ts';
import { EngineModel } from './EngineModel.ts';
import type { PlacementDeployment, RequestClass } from './PlacementDeployment.ts';
import { StageMakerModel } from './StageMakerModel.ts';

/**
 * Who places generations: one placement coordinator for each placement group, one for all groups,
 * or each host for its own callers.
 */
export const PLACER_KINDS = ['groups', 'one', 'alone'] as const;

/** A member of {@link PLACER_KINDS}. */
export type PlacerKind = typeof PLACER_KINDS[number];

/** A period with an increased request rate. */
export interface Burst {
  readonly fromMs: number;
  readonly untilMs: number;
  /** Multiple of the usual rate. */
  readonly factor: number;
  /** The only class whose rate increases; all of them if it is absent. */
  readonly className?: string;
}

/** Options of a run. */
export interface PlacementRunOptions {
  readonly deployment: PlacementDeployment;
  readonly placer: PlacerKind;
  /** Multiple of the deployment's rates. */
  readonly load: number;
  readonly bursts: readonly Burst[];
  readonly durationMs: number;
  readonly seed: number;
}

/** Results of one class of requests. */
export interface ClassFigures {
  /** Earned worth as a fraction of the worth of all its requests if answered on time. */
  readonly worthFraction: number;
  readonly onTimeFraction: number;
  readonly lateFraction: number;
  /** Fraction of its requests that were refused in the end. */
  readonly refusedFraction: number;
}

interface ClassSums {
  arrived: number;
  onTime: number;
  late: number;
  refused: number;
  owed: number;
  earned: number;
}

/** Results of a run. */
export interface PlacementFigures extends ClassFigures {
  /** Fraction of the stage upstreams' busy time spent on results that were never used. */
  readonly wastedFraction: number;
  /** Elapsed time in the placement code per request, in milliseconds. */
  readonly coordinatorMsPerRequest: number;
  /** Results by the name of the class. */
  readonly classes: ReadonlyMap<string, ClassFigures>;
}

interface GenerationRequest {
  readonly requestClass: RequestClass;
  readonly arrivedAtMs: number;
  readonly parts: readonly PromptPart[];
  readonly pieceCounts: readonly number[];
  hasRetried: boolean;
}

const ENGINE_POOL_ID = toId<PoolId>('engines');
const MS_PER_SECOND = 1_000;
const HOST_COUNT = 8;
const HOP_MS = 1;
const RUN_DELAY_MS = 3;
const TICK_MS = 20;
/** Callers wait before a retry for at most this fraction of their remaining time. */
const MAX_RETRY_WAIT_FRACTION = 1 / 3;

function createSums(): ClassSums {
  return {
    arrived: 0, onTime: 0, late: 0, refused: 0, owed: 0, earned: 0,
  };
}

function sumClasses(classes: readonly ClassSums[]): ClassSums {
  const total = createSums();
  classes.forEach((sums) => (Object.keys(total) as (keyof ClassSums)[]).forEach((key) => {
    total[key] += sums[key];
  }));
  return total;
}

function getClassFigures(sums: ClassSums): ClassFigures {
  return {
    worthFraction: sums.earned / sums.owed,
    onTimeFraction: sums.onTime / sums.arrived,
    lateFraction: sums.late / sums.arrived,
    refusedFraction: sums.refused / sums.arrived,
  };
}

/**
 * Runs the real placement coordinators with simulated callers, stage upstreams and engines.
 */
export class PlacementRun {
  readonly #options: PlacementRunOptions;

  readonly #random: SeededRandomSource;

  readonly #clock = new ManualClock();

  readonly #events = new EventQueue(this.#clock);

  readonly #directory = new Directory(this.#clock);

  readonly #makers = new Map<UpstreamId, StageMakerModel>();

  readonly #makerByHandle = new Map<string, StageMakerModel>();

  readonly #engines = new Map<UpstreamId, EngineModel>();

  readonly #coordinators = new Map<string, PlacementCoordinator>();

  readonly #groups: readonly PlacementGroup[];

  #requestCount = 0;

  #arrivedCount = 0;

  #coordinatorMs = 0;

  readonly #sums = new Map<RequestClass, ClassSums>();

  /**
   * @param options - see {@link PlacementRunOptions}
   */
  constructor(options: PlacementRunOptions) {
    this.#options = options;
    this.#random = new SeededRandomSource(options.seed);
    this.#addUpstreams();
    const all = { domains: options.deployment.domains, weight: 1 };
    this.#groups = options.placer === 'groups' ? findPlacementGroups(this.#directory) : [all];
  }

  /**
   * Runs the simulation.
   *
   * @returns the results of all requests
   */
  run(): PlacementFigures {
    const { deployment, durationMs } = this.#options;
    deployment.classes.forEach((requestClass) => this.#scheduleNext(requestClass));
    this.#tick();
    const longestMs = Math.max(...deployment.classes.map(({ deadlineMs }) => deadlineMs));
    this.#events.runUntil(durationMs + longestMs);
    const makers = [...this.#makers.values()];
    const busyMs = makers.reduce((sum, maker) => sum + maker.busyMs, 0);
    const wastedMs = makers.reduce((sum, maker) => sum + maker.wastedMs, 0);
    const all = sumClasses([...this.#sums.values()]);
    return {
      ...getClassFigures(all),
      wastedFraction: wastedMs / busyMs,
      coordinatorMsPerRequest: this.#coordinatorMs / all.arrived,
      classes: new Map([...this.#sums].map(([{ name }, sums]) => [name, getClassFigures(sums)])),
    };
  }

  #getSums(requestClass: RequestClass): ClassSums {
    const sums = this.#sums.get(requestClass) ?? createSums();
    this.#sums.set(requestClass, sums);
    return sums;
  }

  #tick(): void {
    this.#coordinators.forEach((coordinator) => this.#measure(() => coordinator.run()));
    if (this.#events.nowMs < this.#options.durationMs * 2) {
      this.#events.after(TICK_MS, () => this.#tick());
    }
  }

  #measure<T>(action: () => T): T {
    const startMs = performance.now();
    const result = action();
    this.#coordinatorMs += performance.now() - startMs;
    return result;
  }

  #scheduleNext(requestClass: RequestClass): void {
    const { load, bursts, durationMs } = this.#options;
    const { nowMs } = this.#events;
    const factor = bursts
      .filter(({ fromMs, untilMs, className }) => fromMs <= nowMs && nowMs < untilMs
        && (className ?? requestClass.name) === requestClass.name)
      .reduce((product, burst) => product * burst.factor, 1);
    const perSecond = requestClass.perSecond * load * factor;
    const gapMs = (-Math.log(1 - this.#random.getFraction()) * MS_PER_SECOND) / perSecond;
    this.#events.after(gapMs, () => {
      if (this.#events.nowMs < durationMs) {
        this.#requestPlacement(this.#createRequest(requestClass));
        this.#scheduleNext(requestClass);
      }
    });
  }

  #createRequest(requestClass: RequestClass): GenerationRequest {
    const shared = requestClass.sharedParts.map(({ tokens, variants }, index) => ({
      id: `${requestClass.name}-${index}-${Math.floor(this.#random.getFraction() * variants)}`,
      tokens,
    }));
    const sums = this.#getSums(requestClass);
    sums.arrived += 1;
    sums.owed += requestClass.worth;
    this.#arrivedCount += 1;
    return {
      requestClass,
      arrivedAtMs: this.#events.nowMs,
      parts: [...shared, { id: `own-${this.#arrivedCount}`, tokens: requestClass.ownTokens }],
      pieceCounts: requestClass.pieces.map(({ mean, share }) => (
        this.#random.getFraction() < share
          ? Math.max(1, Math.round(mean * (0.5 + this.#random.getFraction())))
          : 0)),
      hasRetried: false,
    };
  }

  #requestPlacement(request: GenerationRequest): void {
    const { requestClass } = request;
    const elapsedMs = this.#events.nowMs - request.arrivedAtMs;
    this.#requestCount += 1;
    const requestId = `r${this.#requestCount}`;
    const [group] = orderGroups(this.#groups, request.parts.at(-2)?.id ?? requestId);
    const coordinator = this.#getCoordinator(group?.domains[0] ?? '');
    this.#measure(() => coordinator.place({
      requestId,
      domains: group?.domains ?? [],
      standingResults: [],
      hostId: toId<HostId>('host'),
      limitReports: [],
      openGenerations: [],
      account: null,
      kind: requestClass.name,
      poolId: ENGINE_POOL_ID,
      stages: requestClass.stages,
      pieceCounts: request.pieceCounts,
      pieceKey: 'key',
      parts: request.parts,
      promptTokens: request.parts.reduce((sum, part) => sum + part.tokens, 0),
      maxOutputTokens: requestClass.outputTokens,
      priority: requestClass.priority,
      onTimeMs: requestClass.onTimeMs - elapsedMs,
      remainingMs: requestClass.deadlineMs - elapsedMs,
      excludedIds: [],
      softwareVersion: null,
      isPlacedAgain: false,
    }, (result) => this.#handleResult(request, coordinator, requestId, result)));
  }

  #handleResult(
    request: GenerationRequest,
    coordinator: PlacementCoordinator,
    requestId: string,
    result: PlacementResult,
  ): void {
    if (result.kind !== 'placed') {
      this.#retryOrRefuse(request, result.kind === 'refused' ? result.retryAfterMs : 0);
      return;
    }
    const { upstreamId, inputs } = result;
    this.#events.after(HOP_MS, () => {
      this.#recordUsed(inputs);
      this.#engines.get(upstreamId)?.run(request.parts, request.requestClass.outputTokens, () => {
        this.#recordAnswer(request);
        this.#measure(() => coordinator.handleReport({ requestId, upstreamId, kind: 'started' }));
      }, () => this.#measure(() => (
        coordinator.handleReport({ requestId, upstreamId, kind: 'ended' }))));
    });
  }

  #retryOrRefuse(request: GenerationRequest, retryAfterMs: number): void {
    const leftMs = request.arrivedAtMs + request.requestClass.deadlineMs - this.#events.nowMs;
    if (request.hasRetried || leftMs <= 0) {
      this.#getSums(request.requestClass).refused += 1;
      return;
    }
    const retried = request;
    retried.hasRetried = true;
    this.#events.after(
      Math.min(retryAfterMs, leftMs * MAX_RETRY_WAIT_FRACTION),
      () => this.#requestPlacement(retried),
    );
  }

  #recordAnswer({ requestClass, arrivedAtMs }: GenerationRequest): void {
    const elapsedMs = this.#events.nowMs - arrivedAtMs;
    const sums = this.#getSums(requestClass);
    if (elapsedMs <= requestClass.onTimeMs) {
      sums.onTime += 1;
      sums.earned += requestClass.worth;
    } else if (elapsedMs <= requestClass.deadlineMs) {
      sums.late += 1;
      sums.earned += requestClass.lateWorth;
    }
  }

  #recordUsed(handles: readonly string[]): void {
    handles.forEach((handle) => this.#makerByHandle.get(handle)?.recordUsed([handle]));
  }

  #getCoordinator(groupName: string): PlacementCoordinator {
    const isAlone = this.#options.placer === 'alone';
    const key = isAlone ? `host ${this.#requestCount % HOST_COUNT}` : groupName;
    const known = this.#coordinators.get(key);
    if (known !== undefined) {
      return known;
    }
    const coordinator = this.#createCoordinator();
    this.#coordinators.set(key, coordinator);
    return coordinator;
  }

  #createCoordinator(): PlacementCoordinator {
    let isRunDue = false;
    const coordinator: PlacementCoordinator = new PlacementCoordinator({
      clock: this.#clock,
      directory: this.#directory,
      logger: pino({ level: 'silent' }),
      retryBudget: UNLIMITED_RETRIES,
      rates: UNLIMITED_RATES,
      rollouts: NO_MAKER_ROLLOUTS,
      quotas: UNLIMITED_QUOTAS,
      maxHeldPieces: MAX_HELD_PIECES,
      maxCachedParts: MAX_CACHED_PARTS,
      sendCall: (call) => {
        const maker = this.#makers.get(call.makerId);
        call.items.forEach((item) => this.#recordUsed(item.inputs));
        maker?.run(call, (pieces) => {
          pieces.forEach((piece) => {
            if (piece.kind === 'result') {
              this.#makerByHandle.set(piece.handle, maker);
            }
          });
          this.#measure(() => coordinator.finishCall(call, { kind: 'answered', pieces }));
        });
      },
      sendRelease: (makerId, _address, handles) => this.#events.after(2 * HOP_MS, () => {
        this.#makers.get(makerId)?.release(handles);
        handles.forEach((handle) => this.#makerByHandle.delete(handle));
        this.#measure(() => coordinator.recordReleased(handles));
      }),
      requestEngineReport: (engineId) => coordinator.room.recordFigures(engineId, null),
      requestRun: () => {
        if (!isRunDue) {
          isRunDue = true;
          this.#events.after(RUN_DELAY_MS, () => {
            isRunDue = false;
            this.#measure(() => coordinator.run());
          });
        }
      },
    });
    return coordinator;
  }

  #addUpstreams(): void {
    const { stagePools, engines } = this.#options.deployment;
    this.#directory.apply({
      kind: 'configuration',
      configuration: {
        version: 1,
        routes: this.#createRoutes(),
        pools: new Map(this.#createPools().map((pool) => [pool.id, pool])),
        accountsByKey: null,
        callerLimits: {
          maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
        },
      },
    });
    stagePools.forEach(({ id, counts, batch }) => this.#addPool(id, counts, (upstreamId) => {
      this.#makers.set(upstreamId, new StageMakerModel(batch, this.#events, this.#random));
    }));
    this.#addPool(ENGINE_POOL_ID, engines.counts, (upstreamId) => {
      this.#engines.set(upstreamId, new EngineModel(engines, this.#events));
    });
  }

  #addPool(poolId: PoolId, counts: readonly number[], create: (id: UpstreamId) => void): void {
    counts.forEach((count, domainIndex) => {
      for (let index = 0; index < count; index += 1) {
        const failureDomain = this.#options.deployment.domains[domainIndex] ?? '';
        const id = toId<UpstreamId>(`${poolId}-${failureDomain}-${index}`);
        create(id);
        this.#directory.apply({
          kind: 'upstream',
          entry: {
            id,
            poolId,
            address: id,
            failureDomain,
            isDraining: false,
            slots: 1,
            softwareVersion: 'v1',
            coldRemainingMs: 0,
            startedAtMs: 1,
          },
        });
      }
    });
  }

  #createPools(): ServingPool[] {
    const { stagePools, engines } = this.#options.deployment;
    const base = { healthPath: '/', maxConnections: 100, coldRequestsPerSecond: 0 };
    return [
      ...stagePools.map(({ id, batch }) => ({
        ...base, id, batch, engine: null,
      })),
      {
        ...base, id: ENGINE_POOL_ID, batch: null, engine: engines.limits,
      },
    ];
  }

  #createRoutes(): ServingRoute[] {
    return this.#options.deployment.classes.map((requestClass) => ({
      name: requestClass.name,
      host: '',
      pathPrefix: `/${requestClass.name}/`,
      executionSemantics: EXECUTION_SEMANTICS.once,
      isStream: true,
      isResumable: false,
      timeoutMs: requestClass.deadlineMs,
      targetLatencyMs: requestClass.onTimeMs,
      gapTargetMs: 400,
      callerPatienceMs: 8_000,
      priority: requestClass.priority,
      maxAttempts: 1,
      targets: [{ poolId: ENGINE_POOL_ID, weight: 1 }],
      stages: requestClass.stages,
      isPublic: true,
    }));
  }
}
