import type { LoadReportedInput } from '../core/CoreInput.ts';
import { COLD_REASON, type ColdReason } from './ColdReason.ts';
import type { HealthEvent } from './HealthEvent.ts';
import type { HealthOptions } from './HealthOptions.ts';

/** The part of a load report that tells a start. */
export type StartReport = Pick<LoadReportedInput, 'upstreamIncarnation' | 'uptimeMs'>;

/** What an answer of an upstream tells about it. */
export interface AnswerEvidence {
  /** Null when the answer did not name it. */
  readonly incarnation: string | null;
  readonly latencyMs: number;
}

const MAX_SUPERSEDED = 8;
const LATENCY_SMOOTHING = 0.05;

/** Notices, without any notice from it, that an upstream has started anew or lost its caches. */
export class StartDetector {
  readonly #options: HealthOptions;

  /** Incarnations that a later one has replaced; what still comes from them is late. */
  readonly #superseded: string[] = [];

  #incarnation: string | null = null;

  /** Earliest start that a report of this incarnation allows; null before the first report. */
  #startedAtMs: number | null = null;

  #answeredAtMs: number | null = null;

  #baselineLatencyMs: number | null = null;

  #isReconnecting = false;

  /** Slow answers in a row since the last pause; null once an answer was not slow. */
  #slowCount: number | null = null;

  /**
   * @param options - how a start is judged
   */
  constructor(options: HealthOptions) {
    this.#options = options;
  }

  /**
   * @param report - what the upstream said
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
    // Lag only makes a start look later than it was.
    this.#startedAtMs = Math.min(knownMs, startedAtMs);
    const reportedAtMs = this.#startedAtMs + report.uptimeMs;
    return { kind: 'confirmed', startedAtMs: this.#startedAtMs, reportedAtMs };
  }

  /**
   * @param incarnation - an incarnation; null when none was named
   * @returns whether a later one has replaced it
   */
  isSuperseded(incarnation: string | null): boolean {
    return incarnation !== null && this.#superseded.includes(incarnation);
  }

  /** Notes that a connection could not be made. */
  recordUnreachable(): void {
    this.#isReconnecting = true;
  }

  /**
   * @param answer - a success, or an error that the upstream itself gave
   * @param nowMs - when it arrived
   * @returns a start; null when nothing speaks for one
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
