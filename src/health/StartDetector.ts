import type { LoadReportedInput } from '../core/CoreInput.ts';
import { COLD_REASON, type ColdReason } from './ColdReason.ts';
import type { HealthEvent } from './HealthEvent.ts';
import type { HealthOptions } from './HealthOptions.ts';

/** The part of a load report that tells a start. */
export type StartReport = Pick<LoadReportedInput, 'upstreamIncarnation' | 'uptimeMs'>;

/** What an answer of an upstream tells about it. */
export interface UpstreamAnswer {
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

  #usualLatencyMs: number | null = null;

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
  noteReport(report: StartReport, nowMs: number): HealthEvent | null {
    const startedAtMs = nowMs - report.uptimeMs;
    if (this.isLate(report.upstreamIncarnation)) {
      return null;
    }
    if (this.#isOther(report.upstreamIncarnation)) {
      return this.#start(COLD_REASON.newIncarnation, report.upstreamIncarnation, startedAtMs);
    }
    this.#incarnation = report.upstreamIncarnation;
    const knownMs = this.#startedAtMs ?? startedAtMs;
    if (startedAtMs > knownMs + this.#options.maxReportLagMs) {
      return this.#start(COLD_REASON.uptimeFell, report.upstreamIncarnation, startedAtMs);
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
  isLate(incarnation: string | null): boolean {
    return incarnation !== null && this.#superseded.includes(incarnation);
  }

  /** Notes that a connection could not be made. */
  noteUnreachable(): void {
    this.#isReconnecting = true;
  }

  /**
   * @param answer - a success, or an error that the upstream itself gave
   * @param nowMs - when it arrived
   * @returns a start; null when nothing speaks for one
   */
  noteAnswer(answer: UpstreamAnswer, nowMs: number): HealthEvent | null {
    if (this.isLate(answer.incarnation)) {
      return null;
    }
    const reason = this.#getReason(answer, nowMs);
    this.#answeredAtMs = nowMs;
    this.#isReconnecting = false;
    if (reason !== null) {
      return this.#start(reason, answer.incarnation, nowMs);
    }
    this.#incarnation = answer.incarnation ?? this.#incarnation;
    this.#noteLatency(answer.latencyMs);
    return null;
  }

  #getReason(answer: UpstreamAnswer, nowMs: number): ColdReason | null {
    if (answer.incarnation !== null && this.#isOther(answer.incarnation)) {
      return COLD_REASON.newIncarnation;
    }
    const showsOldIncarnation = answer.incarnation !== null && this.#incarnation !== null;
    if (this.#isReconnecting && !showsOldIncarnation) {
      return COLD_REASON.reconnected;
    }
    return this.#isSlow(answer.latencyMs, nowMs) ? COLD_REASON.slowAnswers : null;
  }

  #isSlow(latencyMs: number, nowMs: number): boolean {
    const pauseMs = nowMs - latencyMs - (this.#answeredAtMs ?? nowMs);
    if (this.#isReconnecting || pauseMs >= this.#options.idleGapMs) {
      this.#slowCount = 0;
    }
    if (this.#slowCount === null || this.#usualLatencyMs === null) {
      return false;
    }
    const isSlow = latencyMs > this.#usualLatencyMs * this.#options.slowFactor;
    this.#slowCount = isSlow ? this.#slowCount + 1 : null;
    return (this.#slowCount ?? 0) >= this.#options.slowAnswerCount;
  }

  #noteLatency(latencyMs: number): void {
    if (this.#slowCount !== null && this.#slowCount > 0) {
      return;
    }
    const usualMs = this.#usualLatencyMs ?? latencyMs;
    this.#usualLatencyMs = usualMs + LATENCY_SMOOTHING * (latencyMs - usualMs);
  }

  #isOther(incarnation: string): boolean {
    return this.#incarnation !== null && incarnation !== this.#incarnation;
  }

  #start(reason: ColdReason, incarnation: string | null, startedAtMs: number): HealthEvent {
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
