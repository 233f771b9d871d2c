import type { LoadReportedInput } from '../core/CoreInput.ts';
import { COLD_REASON, type ColdReason } from './ColdReason.ts';
import type { HealthEvent } from './HealthEvent.ts';
import type { HealthOptions } from './HealthOptions.ts';

/** Part of a load report that shows the start of an upstream process. */
export type StartReport = Pick<LoadReportedInput, 'upstreamIncarnation' | 'uptimeMs'>;

/** Evidence that an answer gives about its upstream. */
export interface AnswerEvidence {
  /** Incarnation that answered; null if the answer did not contain it. */
  readonly incarnation: string | null;
  readonly latencyMs: number;
}

const MAX_SUPERSEDED = 8;
const LATENCY_SMOOTHING = 0.05;

/** Detects from reports and answers that an upstream has restarted or lost its caches. */
export class StartDetector {
  readonly #options: HealthOptions;

  /** Incarnations that a later one has replaced; their answers and reports are late. */
  readonly #superseded: string[] = [];

  #incarnation: string | null = null;

  /** Earliest start time that the reports of this incarnation show; null before the first. */
  #startedAtMs: number | null = null;

  #answeredAtMs: number | null = null;

  #baselineLatencyMs: number | null = null;

  #isReconnecting = false;

  /** Consecutive slow answers since the last idle period; null once an answer was not slow. */
  #slowCount: number | null = null;

  /**
   * @param options - options of the detection
   */
  constructor(options: HealthOptions) {
    this.#options = options;
  }

  /**
   * Records a load report.
   *
   * @param report - the report
   * @param nowMs - when it arrived
   * @returns a start, a confirmation of the known process, or null for a late report
   */
  recordReport(report: StartReport, nowMs: number): HealthEvent | null {
    const startedAtMs = nowMs - report.uptimeMs;
    if (this.isSuperseded(report.upstreamIncarnation)) {
      return null;
    }
    if (this.#isDifferent(report.upstreamIncarnation)) {
      return this.#recordStart(COLD_REASON.newIncarnation, report.upstreamIncarnation, startedAtMs);
    }
    this.#incarnation = report.upstreamIncarnation;
    const knownMs = this.#startedAtMs ?? startedAtMs;
    if (startedAtMs > knownMs + this.#options.maxReportLagMs) {
      return this.#recordStart(COLD_REASON.uptimeFell, report.upstreamIncarnation, startedAtMs);
    }
    // Lag can only make a start appear later than it was.
    this.#startedAtMs = Math.min(knownMs, startedAtMs);
    const reportedAtMs = this.#startedAtMs + report.uptimeMs;
    return { kind: 'confirmed', startedAtMs: this.#startedAtMs, reportedAtMs };
  }

  /**
   * Checks whether an incarnation is out of date.
   *
   * @param incarnation - the incarnation; null for an unknown one
   * @returns whether a later one has replaced it
   */
  isSuperseded(incarnation: string | null): boolean {
    return incarnation !== null && this.#superseded.includes(incarnation);
  }

  /** Records that a connection could not be established. */
  recordUnreachable(): void {
    this.#isReconnecting = true;
  }

  /**
   * Records an answer.
   *
   * @param answer - a success, or an error returned by the upstream itself
   * @param nowMs - when it arrived
   * @returns a start; null without evidence of one
   */
  recordAnswer(answer: AnswerEvidence, nowMs: number): HealthEvent | null {
    if (this.isSuperseded(answer.incarnation)) {
      return null;
    }
    const reason = this.#getReason(answer, nowMs);
    this.#answeredAtMs = nowMs;
    this.#isReconnecting = false;
    if (reason !== null) {
      return this.#recordStart(reason, answer.incarnation, nowMs);
    }
    this.#incarnation = answer.incarnation ?? this.#incarnation;
    this.#recordLatency(answer.latencyMs);
    return null;
  }

  #getReason(answer: AnswerEvidence, nowMs: number): ColdReason | null {
    if (answer.incarnation !== null && this.#isDifferent(answer.incarnation)) {
      return COLD_REASON.newIncarnation;
    }
    const showsOldIncarnation = answer.incarnation !== null && this.#incarnation !== null;
    if (this.#isReconnecting && !showsOldIncarnation) {
      return COLD_REASON.reconnected;
    }
    return this.#isSlow(answer.latencyMs, nowMs) ? COLD_REASON.slowAnswers : null;
  }

  #isSlow(latencyMs: number, nowMs: number): boolean {
    const idleMs = nowMs - latencyMs - (this.#answeredAtMs ?? nowMs);
    if (this.#isReconnecting || idleMs >= this.#options.idleGapMs) {
      this.#slowCount = 0;
    }
    if (this.#slowCount === null || this.#baselineLatencyMs === null) {
      return false;
    }
    const isSlow = latencyMs > this.#baselineLatencyMs * this.#options.slowFactor;
    this.#slowCount = isSlow ? this.#slowCount + 1 : null;
    return (this.#slowCount ?? 0) >= this.#options.slowAnswerCount;
  }

  #recordLatency(latencyMs: number): void {
    if (this.#slowCount !== null && this.#slowCount > 0) {
      return;
    }
    const baselineMs = this.#baselineLatencyMs ?? latencyMs;
    this.#baselineLatencyMs = baselineMs + LATENCY_SMOOTHING * (latencyMs - baselineMs);
  }

  #isDifferent(incarnation: string): boolean {
    return this.#incarnation !== null && incarnation !== this.#incarnation;
  }

  #recordStart(reason: ColdReason, incarnation: string | null, startedAtMs: number): HealthEvent {
    if (this.#incarnation !== null && incarnation !== this.#incarnation) {
      this.#superseded.push(this.#incarnation);
      this.#superseded.splice(0, this.#superseded.length - MAX_SUPERSEDED);
    }
    this.#incarnation = incarnation;
    this.#startedAtMs = startedAtMs;
    this.#slowCount = null;
    this.#isReconnecting = false;
    return { kind: 'started', reason, startedAtMs };
  }
}
