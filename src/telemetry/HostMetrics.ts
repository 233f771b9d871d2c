import { build, type Histogram } from 'hdr-histogram-js';
import { Counter, Gauge, Registry } from 'prom-client';
import type { RequestAnswer } from '../answers/RequestAnswer.ts';
import { REFUSAL_CODE } from '../answers/REFUSAL_CODE.ts';

const LATENCY_HISTOGRAM = {
  lowestDiscernibleValue: 1,
  highestTrackableValue: 600_000,
  numberOfSignificantValueDigits: 2,
  useWebAssembly: false,
} as const;

/** Quantiles that are shown. */
export interface LatencySummary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
}

/** Requests of one pipeline by how they ended. */
export interface AttainmentSummary {
  readonly pipelineId: string;
  readonly completedCount: number;
  readonly refusedCount: number;
  /** Whole answers within the deadline, as a part of all final answers. */
  readonly fraction: number;
}

/** Refusals of one code. */
export interface RefusalCount {
  readonly code: string;
  readonly count: number;
}

interface PipelineCounts {
  completedCount: number;
  refusedCount: number;
}

function getSummary(histogram: Histogram): LatencySummary {
  return {
    count: histogram.totalCount,
    p50Ms: histogram.getValueAtPercentile(50),
    p95Ms: histogram.getValueAtPercentile(95),
    p99Ms: histogram.getValueAtPercentile(99),
  };
}

/** Counts and latencies of one host, for the status page and for Prometheus. */
export class HostMetrics {
  readonly registry = new Registry();

  readonly #stages = new Map<string, Histogram>();

  readonly #requests: Histogram = build(LATENCY_HISTOGRAM);

  readonly #pipelines = new Map<string, PipelineCounts>();

  readonly #refusals = new Map<string, number>();

  readonly #answers = new Counter({
    name: 'parsleylift_answers_total',
    help: 'Final answers by pipeline and code; "completed" is a whole answer.',
    labelNames: ['pipeline', 'code'],
    registers: [this.registry],
  });

  readonly #costs = new Counter({
    name: 'parsleylift_cost_micros_total',
    help: 'Cost of answered requests by pipeline and stage, in millionths.',
    labelNames: ['pipeline', 'stage'],
    registers: [this.registry],
  });

  readonly #latency = new Gauge({
    name: 'parsleylift_stage_latency_ms',
    help: 'Quantiles of the time per stage since the start.',
    labelNames: ['stage', 'quantile'],
    registers: [this.registry],
    collect: () => this.#collectLatencies(),
  });

  /**
   * Notes a final answer.
   *
   * @param pipelineId - the pipeline; empty for an unknown one
   * @param durationMs - from arrival to the answer
   * @param answer - the answer
   */
  recordAnswer(pipelineId: string, durationMs: number, answer: RequestAnswer): void {
    const code = answer.kind === 'completed' ? 'completed' : answer.code;
    this.#answers.inc({ pipeline: pipelineId, code });
    if (answer.kind === 'refused') {
      this.#refusals.set(code, (this.#refusals.get(code) ?? 0) + 1);
    }
    this.#requests.recordValue(Math.max(1, Math.round(durationMs)));
    this.#countPipeline(pipelineId, answer);
    answer.stages.forEach(({
      stageId, costMicros, durationMs: stageMs, attemptCount,
    }) => {
      this.#costs.inc({ pipeline: pipelineId, stage: stageId }, costMicros);
      if (attemptCount > 0) {
        this.#getStage(stageId).recordValue(Math.max(1, Math.round(stageMs)));
      }
    });
  }

  /**
   * @returns latencies by stage
   */
  getStageLatencies(): ReadonlyMap<string, LatencySummary> {
    return new Map([...this.#stages].map(([id, histogram]) => [id, getSummary(histogram)]));
  }

  /**
   * @returns refusals by code
   */
  getRefusals(): RefusalCount[] {
    return [...this.#refusals].map(([code, count]) => ({ code, count }));
  }

  /**
   * @returns latency of whole requests
   */
  getRequestLatency(): LatencySummary {
    return getSummary(this.#requests);
  }

  /**
   * @returns deadline attainment by pipeline
   */
  getAttainment(): AttainmentSummary[] {
    return [...this.#pipelines].map(([pipelineId, { completedCount, refusedCount }]) => ({
      pipelineId,
      completedCount,
      refusedCount,
      fraction: completedCount / Math.max(1, completedCount + refusedCount),
    }));
  }

  #countPipeline(pipelineId: string, answer: RequestAnswer): void {
    const counts = this.#pipelines.get(pipelineId) ?? { completedCount: 0, refusedCount: 0 };
    if (answer.kind === 'completed') {
      counts.completedCount += 1;
    } else if (answer.code !== REFUSAL_CODE.cancelled) {
      counts.refusedCount += 1;
    }
    this.#pipelines.set(pipelineId, counts);
  }

  #getStage(stageId: string): Histogram {
    const known = this.#stages.get(stageId) ?? build(LATENCY_HISTOGRAM);
    this.#stages.set(stageId, known);
    return known;
  }

  #collectLatencies(): void {
    this.#stages.forEach((histogram, stage) => {
      const summary = getSummary(histogram);
      this.#latency.set({ stage, quantile: '0.5' }, summary.p50Ms);
      this.#latency.set({ stage, quantile: '0.95' }, summary.p95Ms);
      this.#latency.set({ stage, quantile: '0.99' }, summary.p99Ms);
    });
  }
}
