import type { UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';

interface SpeedRecord {
  /** Average of its observed times, relative to other upstreams and to its reported factor. */
  permanentFactor: number;
  observationCount: number;
  /** Average of the factors that it reports. */
  reportedFactor: number;
  reportedAtMs: number;
}

/** Time over which reported factors are averaged: one of them holds for a fraction of a second. */
const AVERAGING_MS = 300;
/** Least weight of a new factor, so that many answers at once still average out. */
const MIN_REPORT_GAIN = 0.2;
/** Time in which the weight of the last reported factors falls to about a third. */
const AGEING_MS = 1_000;
/** Least weight of the newest observation; a single one depends more on chance than on speed. */
const OBSERVATION_GAIN = 0.1;
/** Bounds of one observation: beyond them the upstream has waited for something else. */
const MIN_OBSERVED = 0.25;
const MAX_OBSERVED = 4;

/**
 * Estimates how long work takes at each upstream, relative to the usual time in its pool: its
 * permanent speed by this host's own observations, times what the upstream reports of the moment.
 *
 * The reported factor changes many times a second. It is averaged over some hundred ms, and its
 * weight falls with its age, so that an upstream is not avoided or preferred for an old figure.
 * Upstreams that report no factor count as usual.
 *
 * Load pattern: machines of different speed, shared with others, under load that needs them all.
 * Equal counts at each leave the slow ones with a queue while the fast ones idle.
 */
export class UpstreamSpeeds {
  readonly #clock: Clock;

  readonly #records = new Map<UpstreamId, SpeedRecord>();

  /**
   * @param clock - the source of the current time
   */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param id - an upstream
   * @param factor - how long work takes there now, by its own figure; 1 is as usual
   */
  recordReported(id: UpstreamId, factor: number): void {
    const nowMs = this.#clock.getMonotonicMs();
    const record = this.#records.get(id);
    if (record === undefined) {
      this.#records.set(id, {
        permanentFactor: 1, observationCount: 0, reportedFactor: factor, reportedAtMs: nowMs,
      });
      return;
    }
    const gain = Math.max(
      MIN_REPORT_GAIN,
      1 - Math.exp((record.reportedAtMs - nowMs) / AVERAGING_MS),
    );
    record.reportedFactor += gain * (factor - record.reportedFactor);
    record.reportedAtMs = nowMs;
  }

  /**
   * @param id - an upstream that has done some work
   * @param relativeTime - the time that it took, relative to the usual time in its pool
   */
  recordObserved(id: UpstreamId, relativeTime: number): void {
    const record = this.#records.get(id);
    if (record !== undefined) {
      const observed = Math.min(MAX_OBSERVED, Math.max(MIN_OBSERVED, relativeTime))
        / this.#getReportedFactor(record);
      // The first observations are averaged evenly with the assumption that it is as usual.
      const gain = Math.max(OBSERVATION_GAIN, 1 / (record.observationCount + 2));
      record.observationCount += 1;
      record.permanentFactor += gain * (observed - record.permanentFactor);
    }
  }

  /**
   * @param id - an upstream
   * @returns the time that work takes there now, relative to the usual time in its pool
   */
  getWorkTimeFactor(id: UpstreamId): number {
    const record = this.#records.get(id);
    return record === undefined ? 1 : record.permanentFactor * this.#getReportedFactor(record);
  }

  /** @param id - an upstream that is gone */
  remove(id: UpstreamId): void {
    this.#records.delete(id);
  }

  #getReportedFactor({ reportedFactor, reportedAtMs }: SpeedRecord): number {
    const ageMs = this.#clock.getMonotonicMs() - reportedAtMs;
    return 1 + (reportedFactor - 1) * Math.exp(-ageMs / AGEING_MS);
  }
}
