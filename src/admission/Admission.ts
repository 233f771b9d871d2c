import { REFUSAL_CODE, type RefusalCode } from '../answers/REFUSAL_CODE.ts';
import type { PipelineRecord, StageRecord } from '../configuration/records/PipelineRecord.ts';
import type { CoreContext } from '../core/CoreContext.ts';
import type { AccountId, PipelineId, PoolId } from '../lib/ids.ts';
import type { StageLatencies } from './StageLatencies.ts';

/** What waits and runs at a pool of this host. */
export interface PoolLoad {
  /** Attempts that this host may run there at once. */
  readonly limit: number;
  readonly running: number;
  /** Waiting items of all accounts. */
  readonly queuedCount: number;
  /** Waiting items of the asking account. */
  readonly accountQueuedCount: number;
  /** The asking account's part of the weights of all accounts that wait, itself included. */
  readonly accountShare: number;
}

/** Where admission learns the state of the pools. */
export interface PoolLoadSource {
  /**
   * @param poolId - the pool
   * @param accountId - the asking account
   * @returns what waits and runs there
   */
  getPoolLoad(poolId: PoolId, accountId: AccountId): PoolLoad;
}

/** How careful admission is. */
export interface AdmissionOptions {
  /** Quantile of the latencies that must fit into the deadline at admission. */
  readonly admitQuantile: number;
  /** Quantile of the latencies that must fit for a request that has already run billed stages. */
  readonly continueQuantile: number;
  /** Quantile of the next stage's latency that must fit for it to be started. */
  readonly startQuantile: number;
  /** Quantile of a repeatable stage's latency that bounds its attempts, times the factor below. */
  readonly attemptQuantile: number;
  /** Above 1, since attempts that are given up are missing in the quantile. */
  readonly attemptFactor: number;
  /** Time that an attempt gets in any case: a pause of either process is no sign of a hang. */
  readonly minAttemptMs: number;
  /** Time without a measured run after which a request is admitted to measure the stages anew. */
  readonly probePeriodMs: number;
  /** Part of the time for waiting that may be planned for; the rest absorbs bad estimates. */
  readonly waitFraction: number;
  /** Time to come back when a pool has no usable upstream. */
  readonly noCapacityRetryAfterMs: number;
}

/** Defaults of admission. */
export const DEFAULT_ADMISSION_OPTIONS: AdmissionOptions = {
  admitQuantile: 0.95,
  continueQuantile: 0.1,
  startQuantile: 0.8,
  attemptQuantile: 0.95,
  attemptFactor: 1.2,
  minAttemptMs: 250,
  probePeriodMs: 500,
  waitFraction: 0.8,
  noCapacityRetryAfterMs: 5_000,
};

/** What is to be decided about. */
export interface AdmissionRequest {
  readonly accountId: AccountId;
  readonly pipeline: PipelineRecord;
  /** Index of the next stage to run; 0 at arrival. */
  readonly nextStageIndex: number;
  /** Monotonic time of the end-to-end deadline. */
  readonly deadlineAtMs: number;
  /** Cost so far, in millionths of the billing currency. */
  readonly spentMicros: number;
  /** The account's ceiling for one request; 0 for none. */
  readonly costCeilingMicros: number;
}

/** The request may go on. */
export interface AdmittedDecision {
  readonly kind: 'admitted';
  /** Monotonic time by which the next stage has to end, so that the later ones keep their part. */
  readonly stageDeadlineAtMs: number;
  /** Monotonic time after which it is of no use to start the next stage. */
  readonly latestStartAtMs: number;
}

/** The request can't be served as asked. */
export interface RefusedDecision {
  readonly kind: 'refused';
  readonly code: RefusalCode;
  /** When the caller may come back; null when asking again can't help. */
  readonly retryAfterMs: number | null;
  readonly detail: string;
}

/** What admission decided. */
export type AdmissionDecision = AdmittedDecision | RefusedDecision;

interface StageEstimate {
  readonly medianMs: number;
  readonly spreadMs: number;
  readonly waitMs: number;
}

interface PipelineEstimate {
  readonly serviceMs: number;
  readonly waitMs: number;
  readonly stages: readonly StageEstimate[];
}

const MEDIAN = 0.5;

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function refuseDeadline(
  need: PipelineEstimate,
  remainingMs: number,
  retryAfterMs: number | null,
): RefusedDecision {
  const waitMs = Number.isFinite(need.waitMs) ? Math.round(need.waitMs) : 0;
  return {
    kind: 'refused',
    code: REFUSAL_CODE.deadlineUnreachable,
    retryAfterMs,
    detail: `The stages need ${Math.round(need.serviceMs)} ms and a wait of ${waitMs} ms; `
      + `${Math.round(remainingMs)} ms remain`,
  };
}

function getWaitMs(load: PoolLoad, meanMs: number): number {
  if (load.limit === 0) {
    return Infinity;
  }
  if (load.queuedCount === 0 && load.running < load.limit) {
    return 0;
  }
  const slotMs = meanMs / load.limit;
  const wholeQueueMs = (load.queuedCount + 1) * slotMs;
  const ownQueueMs = ((load.accountQueuedCount + 1) * slotMs) / load.accountShare;
  return Math.min(wholeQueueMs, ownQueueMs);
}

/**
 * Decides at arrival, and between stages, whether a request can still be served in time and within
 * its cost ceiling, and splits its deadline over the stages that remain.
 *
 * The service time at quantile q of independent stages is taken as the sum of their medians plus
 * the root of the sum of their squared spreads (quantile less median). The wait at a pool is the
 * work ahead of the account over the pool's rate, limit / mean service time (Little's law).
 *
 * ```ts
 * const verdict = admission.decide({ ...request, nextStageIndex: 0, spentMicros: 0 });
 * if (verdict.kind === 'refused') answer(verdict);            // before any stage was sent
 * else queue.enqueue({ deadlineAtMs: verdict.latestStartAtMs, ... });
 * ```
 * After each stage Core asks again with `nextStageIndex` and `spentMicros`.
 */
export class Admission {
  readonly #context: CoreContext;

  readonly #latencies: StageLatencies;

  readonly #pools: PoolLoadSource;

  readonly #options: AdmissionOptions;

  readonly #probedAtMs = new Map<string, number>();

  /**
   * @param context - the time of the step
   * @param latencies - live quantiles and costs of the stages
   * @param pools - what waits and runs at the pools
   * @param options - how careful to be; what is left out takes its default
   */
  constructor(
    context: CoreContext,
    latencies: StageLatencies,
    pools: PoolLoadSource,
    options: Partial<AdmissionOptions> = {},
  ) {
    this.#context = context;
    this.#latencies = latencies;
    this.#pools = pools;
    this.#options = { ...DEFAULT_ADMISSION_OPTIONS, ...options };
  }

  /**
   * Decides whether a request may run its next stage.
   *
   * @param request - the request and what it has spent
   * @returns the stage's part of the deadline, or why the request can't be served
   */
  decide(request: AdmissionRequest): AdmissionDecision {
    return this.#checkCost(request) ?? this.#checkDeadline(request);
  }

  /**
   * @param request - the request
   * @returns what its remaining stages are expected to cost, in millionths of the currency
   */
  getExpectedCostMicros(request: Pick<AdmissionRequest, 'pipeline' | 'nextStageIndex'>): number {
    const pipelineId = request.pipeline.id as PipelineId;
    return sum(request.pipeline.stages
      .slice(request.nextStageIndex)
      .map((stage) => this.#latencies.getExpectedCostMicros(pipelineId, stage)));
  }

  /**
   * Bounds an attempt of the next stage. A repeatable one is given up when it takes much longer
   * than usual and a second one can still end in time.
   *
   * @param request - the request
   * @returns how long the attempt may take
   */
  getAttemptTimeoutMs(
    request: Pick<AdmissionRequest, 'pipeline' | 'nextStageIndex' | 'deadlineAtMs'>,
  ): number {
    const pipelineId = request.pipeline.id as PipelineId;
    const remainingMs = request.deadlineAtMs - this.#context.getNowMs();
    const [next, ...later] = request.pipeline.stages.slice(request.nextStageIndex);
    if (next === undefined || !next.repeatable) {
      return remainingMs;
    }
    const {
      attemptQuantile, attemptFactor, minAttemptMs, startQuantile,
    } = this.#options;
    const measuredMs = this.#latencies.getQuantileMs(pipelineId, next, attemptQuantile);
    const secondMs = this.#latencies.getQuantileMs(pipelineId, next, startQuantile);
    const laterMs = sum(later
      .map((stage) => this.#latencies.getQuantileMs(pipelineId, stage, MEDIAN)));
    const isMeasured = this.#latencies.isMeasured(pipelineId, next);
    const usualMs = Math.max(measuredMs * attemptFactor, minAttemptMs);
    return isMeasured && usualMs + secondMs + laterMs <= remainingMs ? usualMs : remainingMs;
  }

  #checkCost(request: AdmissionRequest): RefusedDecision | null {
    const expectedMicros = request.spentMicros + this.getExpectedCostMicros(request);
    if (request.costCeilingMicros === 0 || expectedMicros <= request.costCeilingMicros) {
      return null;
    }
    return {
      kind: 'refused',
      code: REFUSAL_CODE.costCeiling,
      retryAfterMs: null,
      detail: `The request would cost ${Math.round(expectedMicros)} millionths, `
        + `more than the account's ceiling of ${request.costCeilingMicros}`,
    };
  }

  #checkDeadline(request: AdmissionRequest): AdmissionDecision {
    const isNew = request.nextStageIndex === 0;
    const { admitQuantile, continueQuantile } = this.#options;
    const need = this.#estimatePipeline(request, isNew ? admitQuantile : continueQuantile);
    const remainingMs = request.deadlineAtMs - this.#context.getNowMs();
    if (need.serviceMs > remainingMs) {
      return this.#tryProbe(request, remainingMs)
        ? this.#admit(request, need, remainingMs)
        : refuseDeadline(need, remainingMs, null);
    }
    if (isNew && need.waitMs === Infinity) {
      const retryAfterMs = this.#options.noCapacityRetryAfterMs;
      return {
        kind: 'refused',
        code: REFUSAL_CODE.overloaded,
        retryAfterMs,
        detail: 'No upstream of a pool that the pipeline needs takes work now',
      };
    }
    const excessMs = need.waitMs - (remainingMs - need.serviceMs) * this.#options.waitFraction;
    if (isNew && excessMs > 0) {
      return refuseDeadline(need, remainingMs, Math.ceil(excessMs));
    }
    return this.#admit(request, need, remainingMs);
  }

  /**
   * Lets one request through now and then although the measured times do not fit, when the declared
   * ones do: with nobody admitted, what was measured in a bad moment would never be measured anew.
   */
  #tryProbe({ pipeline, nextStageIndex }: AdmissionRequest, remainingMs: number): boolean {
    const nowMs = this.#context.getNowMs();
    const expectedMs = sum(pipeline.stages.slice(nextStageIndex).map((stage) => stage.expectedMs));
    const key = `${pipeline.id}/${nextStageIndex}`;
    const { probePeriodMs } = this.#options;
    const measuredAtMs = this.#getMeasuredAtMs(pipeline, nextStageIndex);
    const lastMs = Math.max(measuredAtMs, this.#probedAtMs.get(key) ?? -Infinity);
    if (expectedMs > remainingMs || nowMs < lastMs + probePeriodMs) {
      return false;
    }
    this.#probedAtMs.set(key, nowMs);
    return true;
  }

  /** When one of the remaining stages was measured last. */
  #getMeasuredAtMs(pipeline: PipelineRecord, nextStageIndex: number): number {
    const measuredAtMs = pipeline.stages.slice(nextStageIndex)
      .map((stage) => this.#latencies.getMeasuredAtMs(pipeline.id as PipelineId, stage));
    return Math.max(...measuredAtMs);
  }

  #admit(request: AdmissionRequest, need: PipelineEstimate, remainingMs: number): AdmittedDecision {
    const nowMs = this.#context.getNowMs();
    const needs = need.stages.map((stage) => stage.medianMs + stage.spreadMs);
    const total = sum(needs);
    const share = total === 0 ? 1 / needs.length : (needs[0] ?? 0) / total;
    const laterMedianMs = sum(need.stages.slice(1).map((stage) => stage.medianMs));
    const startAtMs = request.deadlineAtMs - laterMedianMs - this.#getStartEstimateMs(request);
    return {
      kind: 'admitted',
      stageDeadlineAtMs: nowMs + remainingMs * share,
      latestStartAtMs: Math.max(nowMs, startAtMs),
    };
  }

  #getStartEstimateMs({ pipeline, nextStageIndex }: AdmissionRequest): number {
    const next = pipeline.stages[nextStageIndex];
    const { startQuantile } = this.#options;
    return next === undefined
      ? 0
      : this.#latencies.getQuantileMs(pipeline.id as PipelineId, next, startQuantile);
  }

  #estimatePipeline(request: AdmissionRequest, quantile: number): PipelineEstimate {
    const stages = request.pipeline.stages
      .slice(request.nextStageIndex)
      .map((stage) => this.#estimateStage(request, stage, quantile));
    const spreadMs = Math.sqrt(sum(stages.map((stage) => stage.spreadMs ** 2)));
    const medianMs = sum(stages.map((stage) => stage.medianMs));
    const isCareful = quantile >= MEDIAN;
    return {
      serviceMs: Math.max(0, isCareful ? medianMs + spreadMs : medianMs - spreadMs),
      waitMs: sum(stages.map((stage) => stage.waitMs)),
      stages,
    };
  }

  #estimateStage(request: AdmissionRequest, stage: StageRecord, quantile: number): StageEstimate {
    const pipelineId = request.pipeline.id as PipelineId;
    const medianMs = this.#latencies.getQuantileMs(pipelineId, stage, MEDIAN);
    const quantileMs = this.#latencies.getQuantileMs(pipelineId, stage, quantile);
    const load = this.#pools.getPoolLoad(stage.poolId as PoolId, request.accountId);
    return {
      medianMs,
      spreadMs: Math.abs(quantileMs - medianMs),
      waitMs: getWaitMs(load, this.#latencies.getMeanMs(pipelineId, stage)),
    };
  }
}
