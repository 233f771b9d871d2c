import type { CoreContext } from '../core/CoreContext.ts';
import { ErrorRateWindow } from '../detection/ErrorRateWindow.ts';
import type { RateDetector } from '../detection/RateDetector.ts';
import type { UpstreamId } from '../lib/ids.ts';

/** How failing upstreams are taken out of their pool. */
export interface PoolEjectionOptions {
  /** Length of the ticks over which errors are counted. */
  readonly tickMs: number;
  /** First ejection; doubles with each further one. */
  readonly ejectMs: number;
  /** Longest ejection. */
  readonly maxEjectMs: number;
  /** Time without an alarm after which the next ejection is a first one again. */
  readonly forgiveMs: number;
  /** Part of the pool above which nothing is ejected: the fault is not in single upstreams. */
  readonly panicFraction: number;
  /**
   * @returns a detector of failures for one upstream
   */
  readonly createDetector: () => RateDetector;
}

const WINDOW_RATE = 0.3;

/** Defaults of ejection. */
export const DEFAULT_POOL_EJECTION_OPTIONS: PoolEjectionOptions = {
  tickMs: 500,
  ejectMs: 5_000,
  maxEjectMs: 60_000,
  forgiveMs: 60_000,
  panicFraction: 0.5,
  createDetector: () => new ErrorRateWindow(WINDOW_RATE),
};

interface Suspect {
  readonly detector: RateDetector;
  offered: number;
  errors: number;
  isAlarmed: boolean;
  ejectedUntilMs: number;
  ejectionCount: number;
}

/**
 * Takes upstreams with many failures out of their pool for a while, never a whole pool.
 *
 * ```ts
 * ejection.note(upstreamId, failure !== null);
 * ejection.tick().forEach(refresh);        // at getNextWakeMs(): upstreams out or back in
 * if (!ejection.isEjected(upstreamId)) ...
 * ```
 */
export class PoolEjection {
  readonly #context: CoreContext;

  readonly #options: PoolEjectionOptions;

  readonly #suspects = new Map<UpstreamId, Suspect>();

  /** Upstreams with attempts in the running tick. */
  readonly #touched = new Set<UpstreamId>();

  readonly #ejected = new Set<UpstreamId>();

  #memberCount = 0;

  #tickEndsAtMs = Infinity;

  /**
   * @param context - the time of the step
   * @param options - how upstreams are taken out; what is left out takes its default
   */
  constructor(context: CoreContext, options: Partial<PoolEjectionOptions> = {}) {
    this.#context = context;
    this.#options = { ...DEFAULT_POOL_EJECTION_OPTIONS, ...options };
  }

  /**
   * @param count - upstreams of the pool that are in service
   */
  setMemberCount(count: number): void {
    this.#memberCount = count;
  }

  /**
   * @param upstreamId - the upstream
   * @returns whether it gets no work now
   */
  isEjected(upstreamId: UpstreamId): boolean {
    return this.#ejected.has(upstreamId);
  }

  /**
   * Counts an attempt that ended.
   *
   * @param upstreamId - where it ran
   * @param isError - whether the upstream failed it
   */
  note(upstreamId: UpstreamId, isError: boolean): void {
    const suspect = this.#getSuspect(upstreamId);
    suspect.offered += 1;
    suspect.errors += isError ? 1 : 0;
    this.#touched.add(upstreamId);
    if (this.#tickEndsAtMs === Infinity) {
      this.#tickEndsAtMs = this.#context.getNowMs() + this.#options.tickMs;
    }
  }

  /**
   * Forgets an upstream: it was removed, or it has started anew.
   *
   * @param upstreamId - the upstream
   */
  forget(upstreamId: UpstreamId): void {
    this.#suspects.delete(upstreamId);
    this.#touched.delete(upstreamId);
    this.#ejected.delete(upstreamId);
  }

  /**
   * Does what is due.
   *
   * @returns the upstreams that were ejected or came back
   */
  tick(): UpstreamId[] {
    const nowMs = this.#context.getNowMs();
    const changed = [...this.#ejected].filter((id) => this.#endEjection(id, nowMs));
    if (nowMs >= this.#tickEndsAtMs) {
      this.#tickEndsAtMs = Infinity;
      const alarmed = [...this.#touched].filter((id) => this.#endTick(id));
      this.#touched.clear();
      changed.push(...this.#ejectAll(alarmed, nowMs));
    }
    return changed;
  }

  /**
   * @returns when the next tick is due; Infinity for never
   */
  getNextWakeMs(): number {
    const returns = [...this.#ejected].map((id) => this.#getSuspect(id).ejectedUntilMs);
    return Math.min(this.#tickEndsAtMs, ...returns);
  }

  #getSuspect(upstreamId: UpstreamId): Suspect {
    const known = this.#suspects.get(upstreamId);
    if (known !== undefined) {
      return known;
    }
    const created: Suspect = {
      detector: this.#options.createDetector(),
      offered: 0,
      errors: 0,
      isAlarmed: false,
      ejectedUntilMs: -Infinity,
      ejectionCount: 0,
    };
    this.#suspects.set(upstreamId, created);
    return created;
  }

  #endTick(upstreamId: UpstreamId): boolean {
    const suspect = this.#getSuspect(upstreamId);
    suspect.isAlarmed = suspect.detector.addTick(suspect.offered, suspect.errors);
    suspect.offered = 0;
    suspect.errors = 0;
    return suspect.isAlarmed && !this.#ejected.has(upstreamId);
  }

  #ejectAll(alarmed: readonly UpstreamId[], nowMs: number): UpstreamId[] {
    const bearable = Math.floor(this.#memberCount * this.#options.panicFraction);
    if (alarmed.length + this.#ejected.size > bearable) {
      return [];
    }
    alarmed.forEach((id) => this.#eject(id, nowMs));
    return [...alarmed];
  }

  #eject(upstreamId: UpstreamId, nowMs: number): void {
    const suspect = this.#getSuspect(upstreamId);
    if (nowMs >= suspect.ejectedUntilMs + this.#options.forgiveMs) {
      suspect.ejectionCount = 0;
    }
    const { ejectMs, maxEjectMs } = this.#options;
    const durationMs = Math.min(maxEjectMs, ejectMs * 2 ** suspect.ejectionCount);
    suspect.ejectionCount += 1;
    suspect.ejectedUntilMs = nowMs + durationMs;
    suspect.detector.reset();
    this.#ejected.add(upstreamId);
  }

  #endEjection(upstreamId: UpstreamId, nowMs: number): boolean {
    return nowMs >= this.#getSuspect(upstreamId).ejectedUntilMs
      && this.#ejected.delete(upstreamId);
  }
}
