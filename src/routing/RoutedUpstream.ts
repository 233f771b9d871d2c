import type { PoolRecord } from '../configuration/records/PoolRecord.ts';
import type { UpstreamRecord } from '../configuration/records/UpstreamRecord.ts';
import type { CoreContext } from '../core/CoreContext.ts';
import type { LoadReportedInput } from '../core/CoreInput.ts';
import type { HealthOptions } from '../health/HealthOptions.ts';
import { UpstreamHealth } from '../health/UpstreamHealth.ts';
import type { PoolId, UpstreamId } from '../lib/ids.ts';
import { ConcurrencyLimit, type ConcurrencyLimitOptions } from '../limits/ConcurrencyLimit.ts';
import type { AttemptOutcome } from './AttemptOutcome.ts';
import { getTextHash } from './getTextHash.ts';
import { isOverloadFailure, isUpstreamError } from './isUpstreamError.ts';
import type { SelectableUpstream } from './UpstreamSelector.ts';

/** How one upstream is judged. */
export interface RoutedUpstreamOptions {
  readonly health: Partial<HealthOptions>;
  readonly limit: Partial<ConcurrencyLimitOptions>;
}

const LATENCY_SMOOTHING = 0.2;
/** A failed attempt counts as this multiple of the expected latency, if it was faster. */
const FAILURE_LATENCY_FACTOR = 3;
/** Time after which half of a latency that was not confirmed is forgotten. */
const LATENCY_HALF_LIFE_MS = 10_000;
/** Time after which half of the other hosts' reported load is forgotten. */
const OTHER_HOSTS_LOAD_HALF_LIFE_MS = 2_000;

/** Hosts get more than an even share, since their callers are not spread evenly. */
const HOST_SHARE_FACTOR = 1.5;

function getDecay(ageMs: number, halfLifeMs: number): number {
  return 0.5 ** (Math.max(0, ageMs) / halfLifeMs);
}

/** One upstream as the router of this host sees it: health, limit and running attempts. */
export class RoutedUpstream implements SelectableUpstream {
  readonly upstreamId: UpstreamId;

  readonly idHash: number;

  readonly health: UpstreamHealth;

  readonly limit: ConcurrencyLimit;

  /** True while one attempt is to have the upstream to itself. */
  isReserved = false;

  readonly #context: CoreContext;

  #record: UpstreamRecord;

  #pool: PoolRecord;

  #hostCountBound: number;

  /** Attempts that were sent while no grant was needed. */
  #ungrantedCount = 0;

  /** Attempts that hold a slot. */
  #grantedCount = 0;

  #latencyMs: number | null = null;

  #latencyAtMs = 0;

  #otherHostsCount = 0;

  #otherHostsReportedAtMs = -Infinity;

  /**
   * @param context - the time of the step
   * @param record - the upstream
   * @param pool - its pool
   * @param hostCountBound - entry hosts that may send to it at most
   * @param options - how it is judged
   */
  constructor(
    context: CoreContext,
    record: UpstreamRecord,
    pool: PoolRecord,
    hostCountBound: number,
    options: RoutedUpstreamOptions,
  ) {
    this.upstreamId = record.id as UpstreamId;
    this.idHash = getTextHash(record.id);
    this.#context = context;
    this.#record = record;
    this.#pool = pool;
    this.#hostCountBound = hostCountBound;
    this.health = new UpstreamHealth(context, pool, options.health);
    const share = this.#getShare();
    this.limit = new ConcurrencyLimit(context, share, share, options.limit);
  }

  /** The upstream's record. */
  get record(): UpstreamRecord {
    return this.#record;
  }

  /** The pool's record. */
  get pool(): PoolRecord {
    return this.#pool;
  }

  /** The pool's id. */
  get poolId(): PoolId {
    return this.#pool.id as PoolId;
  }

  /** Attempts of this host that run there. */
  get runningCount(): number {
    return this.#ungrantedCount + this.#grantedCount;
  }

  /** @inheritdoc */
  get utilization(): number {
    return this.runningCount / Math.max(1, this.limit.value);
  }

  /** @inheritdoc */
  get expectedMs(): number {
    const ageMs = this.#context.getNowMs() - this.#latencyAtMs;
    const baselineMs = this.limit.baseLatencyMs ?? this.#latencyMs ?? 1;
    const excessMs = (this.#latencyMs ?? baselineMs) - baselineMs;
    const latencyMs = baselineMs + excessMs * getDecay(ageMs, LATENCY_HALF_LIFE_MS);
    return latencyMs * (1 + this.runningCount + this.#getDecayedOtherHostsCount());
  }

  /**
   * Adopts changed records.
   *
   * @param record - the upstream
   * @param pool - its pool
   * @param hostCountBound - entry hosts that may send to it at most
   */
  setRecords(record: UpstreamRecord, pool: PoolRecord, hostCountBound: number): void {
    this.#record = record;
    this.#pool = pool;
    this.#hostCountBound = hostCountBound;
    this.health.setPool(pool);
    this.#updateCap();
  }

  /**
   * @returns whether a further attempt without a grant may be sent now
   */
  hasCapacity(): boolean {
    return !this.isReserved
      && !this.health.needsGrant()
      && this.health.acceptsWork()
      && this.runningCount < this.limit.value;
  }

  /**
   * Counts an attempt that is sent.
   *
   * @param isGranted - whether it holds a slot
   */
  startAttempt(isGranted: boolean): void {
    if (isGranted) {
      this.#grantedCount += 1;
    } else {
      this.#ungrantedCount += 1;
    }
  }

  /**
   * Counts an attempt that has ended. Which one is not known: those without a slot go first, so
   * that a slot is rather kept too long.
   *
   * @returns whether it may have held a slot
   */
  endAttempt(): boolean {
    const isGranted = this.#ungrantedCount === 0 && this.#grantedCount > 0;
    if (isGranted) {
      this.#grantedCount -= 1;
    } else {
      this.#ungrantedCount = Math.max(0, this.#ungrantedCount - 1);
    }
    if (this.runningCount === 0) {
      this.health.recordLastAttemptEnded();
    }
    return isGranted;
  }

  /**
   * Learns from an attempt that has ended.
   *
   * @param outcome - how it ended
   */
  recordOutcome(outcome: AttemptOutcome): void {
    this.#restartLimitIfWarmed(() => this.health.recordOutcome({
      incarnation: outcome.upstreamIncarnation,
      failure: outcome.failure,
      latencyMs: outcome.latencyMs,
    }));
    if (outcome.failure === null) {
      this.limit.recordLatency(outcome.latencyMs, this.runningCount + 1);
    } else if (isOverloadFailure(outcome.failure)) {
      this.limit.recordOverload();
    }
    this.#recordLatency(outcome);
  }

  /**
   * Learns from a load report.
   *
   * @param report - what the upstream said
   */
  recordReport(report: LoadReportedInput): void {
    this.#restartLimitIfWarmed(() => this.health.recordReport(report));
    this.limit.recordLoadReport(report);
    const total = report.runningCount + report.queuedCount;
    this.#otherHostsCount = Math.max(0, total - this.runningCount);
    this.#otherHostsReportedAtMs = this.#context.getNowMs();
    this.#updateCap();
  }

  /**
   * @param isDrained - whether operators have taken it out of service
   */
  setDrained(isDrained: boolean): void {
    this.#restartLimitIfWarmed(() => this.health.setDrained(isDrained, this.runningCount));
  }

  /** Lets time take effect. */
  tick(): void {
    this.#restartLimitIfWarmed(() => this.health.tick(), ['cold', 'warming']);
  }

  /** Lets the limit ramp up from what this host's part of a cold upstream is. */
  restartLimit(): void {
    this.limit.restart(Math.max(1, Math.ceil(this.#pool.coldConcurrency / this.#hostCountBound)));
  }

  /** An upstream that proved itself after a start ramps up; one that was only unknown need not. */
  #restartLimitIfWarmed(change: () => void, rampingKinds: readonly string[] = ['warming']): void {
    const before: string = this.health.state.kind;
    change();
    const after: string = this.health.state.kind;
    if (after === 'warm' && rampingKinds.includes(before)) {
      this.restartLimit();
    }
  }

  #recordLatency(outcome: AttemptOutcome): void {
    const usualMs = this.#latencyMs ?? this.limit.baseLatencyMs ?? outcome.latencyMs;
    const isError = outcome.failure !== null && isUpstreamError(outcome.failure);
    const sampleMs = isError
      ? Math.max(outcome.latencyMs, usualMs * FAILURE_LATENCY_FACTOR)
      : outcome.latencyMs;
    this.#latencyMs = usualMs + LATENCY_SMOOTHING * (sampleMs - usualMs);
    this.#latencyAtMs = this.#context.getNowMs();
  }

  #getDecayedOtherHostsCount(): number {
    const ageMs = this.#context.getNowMs() - this.#otherHostsReportedAtMs;
    return this.#otherHostsCount === 0 ? 0 : this.#otherHostsCount * getDecay(ageMs, OTHER_HOSTS_LOAD_HALF_LIFE_MS);
  }

  #getShare(): number {
    const { maxConcurrency } = this.#pool;
    const share = Math.ceil((maxConcurrency / this.#hostCountBound) * HOST_SHARE_FACTOR);
    return Math.max(1, Math.min(maxConcurrency, share));
  }

  /** This host leaves the others what they use, but never goes below its own share. */
  #updateCap(): void {
    const remaining = this.#pool.maxConcurrency - Math.round(this.#otherHostsCount);
    this.limit.setCap(Math.max(this.#getShare(), remaining));
  }
}
