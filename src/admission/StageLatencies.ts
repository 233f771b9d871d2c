import type { StageRecord } from '../configuration/records/PipelineRecord.ts';
import type { CoreContext } from '../core/CoreContext.ts';
import type { PipelineId, StageId } from '../lib/ids.ts';
import { StageStatistics } from './StageStatistics.ts';

/** How stage latencies are kept. */
export interface StageLatenciesOptions {
  /** Time after which a measured value counts half. */
  readonly halfLifeMs: number;
  /** Values needed before they replace what the configuration expects. */
  readonly minCount: number;
}

/** Defaults of stage latencies. */
export const DEFAULT_STAGE_LATENCIES_OPTIONS: StageLatenciesOptions = {
  halfLifeMs: 30_000,
  minCount: 20,
};

/** One measured run of a stage. */
export interface StageSample {
  readonly pipelineId: PipelineId;
  readonly stageId: StageId;
  /** From the send to the whole result, without the wait in this host's queue. */
  readonly latencyMs: number;
  readonly costMicros: number;
}

/**
 * Live latency quantiles and mean costs per stage. Until enough runs were measured, the values of
 * the configuration stand in.
 *
 * ```ts
 * latencies.note({ pipelineId, stageId, latencyMs, costMicros }); // at each attemptSucceeded
 * ```
 */
export class StageLatencies {
  readonly #context: CoreContext;

  readonly #options: StageLatenciesOptions;

  readonly #stages = new Map<string, StageStatistics>();

  /** Spares the composed key on the way of each request. */
  readonly #byRecord = new WeakMap<StageRecord, StageStatistics>();

  /**
   * @param context - the time of the step
   * @param options - how values are kept; what is left out takes its default
   */
  constructor(context: CoreContext, options: Partial<StageLatenciesOptions> = {}) {
    this.#context = context;
    this.#options = { ...DEFAULT_STAGE_LATENCIES_OPTIONS, ...options };
  }

  /**
   * Adds a measured run.
   *
   * @param sample - the run
   */
  record(sample: StageSample): void {
    const key = `${sample.pipelineId}/${sample.stageId}`;
    const known = this.#stages.get(key);
    const statistics = known ?? new StageStatistics(this.#options.halfLifeMs);
    if (known === undefined) {
      this.#stages.set(key, statistics);
    }
    statistics.recordLatency(sample.latencyMs, this.#context.getNowMs());
    statistics.recordCost(sample.costMicros);
  }

  /**
   * @param pipelineId - the pipeline
   * @param stage - the stage
   * @param quantile - between 0 and 1
   * @returns the stage's latency at the quantile, in milliseconds
   */
  getQuantileMs(pipelineId: PipelineId, stage: StageRecord, quantile: number): number {
    const statistics = this.#getMeasured(pipelineId, stage);
    return statistics?.latencies.getQuantile(quantile) ?? stage.expectedMs;
  }

  /**
   * @param pipelineId - the pipeline
   * @param stage - the stage
   * @returns whether enough runs were measured, so that the configuration no longer stands in
   */
  isMeasured(pipelineId: PipelineId, stage: StageRecord): boolean {
    return this.#getMeasured(pipelineId, stage) !== null;
  }

  /**
   * @param pipelineId - the pipeline
   * @param stage - the stage
   * @returns when the stage's last run was measured; -Infinity for never
   */
  getMeasuredAtMs(pipelineId: PipelineId, stage: StageRecord): number {
    return this.#getStatistics(pipelineId, stage)?.measuredAtMs ?? -Infinity;
  }

  /**
   * @param pipelineId - the pipeline
   * @param stage - the stage
   * @returns the stage's mean latency, in milliseconds
   */
  getMeanMs(pipelineId: PipelineId, stage: StageRecord): number {
    return this.#getMeasured(pipelineId, stage)?.meanLatencyMs ?? stage.expectedMs;
  }

  /**
   * @param pipelineId - the pipeline
   * @param stage - the stage
   * @returns what a run costs on average, in millionths of the billing currency
   */
  getExpectedCostMicros(pipelineId: PipelineId, stage: StageRecord): number {
    return this.#getMeasured(pipelineId, stage)?.meanCostMicros ?? stage.expectedCostMicros;
  }

  #getMeasured(pipelineId: PipelineId, stage: StageRecord): StageStatistics | null {
    const statistics = this.#getStatistics(pipelineId, stage);
    const nowMs = this.#context.getNowMs();
    return statistics?.isMeasured(nowMs, this.#options.minCount) === true ? statistics : null;
  }

  #getStatistics(pipelineId: PipelineId, stage: StageRecord): StageStatistics | undefined {
    const known = this.#byRecord.get(stage);
    if (known !== undefined) {
      return known;
    }
    const statistics = this.#stages.get(`${pipelineId}/${stage.id}`);
    if (statistics !== undefined) {
      this.#byRecord.set(stage, statistics);
    }
    return statistics;
  }
}
