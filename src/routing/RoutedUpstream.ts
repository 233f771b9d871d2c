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

/** Options of a routed upstream. */
export interface RoutedUpstreamOptions {
  readonly health: Partial<HealthOptions>;
  readonly limit: Partial<ConcurrencyLimitOptions>;
}

const LATENCY_SMOOTHING = 0.2;
/** A failed attempt counts as at least this multiple of the expected latency. */
const FAILURE_LATENCY_FACTOR = 3;
/** Half-life of the excess of a measured latency without new measurements. */
const LATENCY_HALF_LIFE_MS = 10_000;
/** Half-life of the other hosts' reported load. */
const OTHER_HOSTS_LOAD_HALF_LIFE_MS = 2_000;

/** Each host gets more than an even share, since callers are not spread evenly over hosts. */
const HOST_SHARE_FACTOR = 1.5;

function getDecay(ageMs: number, halfLifeMs: number): number {
  return 0.5 ** (Math.max(0, ageMs) / halfLifeMs);
}

/** State of one upstream at this host's router: health, limit and running attempts. */
export class RoutedUpstream implements SelectableUpstream {
  readonly upstreamId: UpstreamId;

  readonly idHash: number;

  readonly health: UpstreamHealth;

  readonly limit: ConcurrencyLimit;

  /** True while the upstream is reserved for one attempt. */
  isReserved = false;

  readonly #context: CoreContext;

  #record: UpstreamRecord;

  #pool: PoolRecord;

  #hostCountBound: number;

  /** Running attempts without a granted slot. */
  #ungrantedCount = 0;

  /** Running attempts with a granted slot. */
  #grantedCount = 0;

  #latencyMs: number | null = null;

  #latencyAtMs = 0;

  #otherHostsCount = 0;

  #otherHostsReportedAtMs = -Infinity;

  /**
   * @param context - time of the step
   * @param record - the upstream
   * @param pool - its pool
   * @param hostCountBound - maximum number of entry hosts that may send to it
   * @param options - options of its health and limit
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

  /** Configuration record of the upstream. */
  get record(): UpstreamRecord {
    return this.#record;
  }

  /** Configuration record of its pool. */
  get pool(): PoolRecord {
    return this.#pool;
  }

  /** Id of its pool. */
  get poolId(): PoolId {
    return this.#pool.id as PoolId;
  }

  /** Running attempts of this host. */
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
   * Applies changed records.
   *
   * @param record - the upstream
   * @param pool - its pool
   * @param hostCountBound - maximum number of entry hosts that may send to it
   */
  setRecords(record: UpstreamRecord, pool: PoolRecord, hostCountBound: number): void {
    this.#record = record;
    this.#pool = pool;
    this.#hostCountBound = hostCountBound;
    this.health.setPool(pool);
    this.#updateCap();
  }

  /**
   * Checks whether the upstream has capacity for another attempt.
   *
   * @returns whether an attempt without a grant may be sent now
   */
  hasCapacity(): boolean {
    return !this.isReserved
      && !this.health.needsGrant()
      && this.health.acceptsWork()
      && this.runningCount < this.limit.value;
  }

  /**
   * Counts an attempt that starts.
   *
   * @param isGranted - whether it holds a granted slot
   */
  startAttempt(isGranted: boolean): void {
    if (isGranted) {
      this.#grantedCount += 1;
    } else {
      this.#ungrantedCount += 1;
    }
  }

  /**
   * Counts an attempt that has ended. Which one is not known: attempts without a slot are counted
   * first, so that a slot is kept too long rather than released too early.
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
   * Updates health, limit and expected latency after an attempt.
   *
   * @param outcome - the outcome
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
   * Updates health, limit and other hosts' load from a load report.
   *
   * @param report - the report
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
   * Applies a drain or its end.
   *
   * @param isDrained - whether operators have taken the upstream out of service
   */
  setDrained(isDrained: boolean): void {
    this.#restartLimitIfWarmed(() => this.health.setDrained(isDrained, this.runningCount));
  }

  /** Applies the state changes that are due. */
  tick(): void {
    this.#restartLimitIfWarmed(() => this.health.tick(), ['cold', 'warming']);
  }

  /** Restarts the limit from this host's share of the pool's cold concurrency. */
  restartLimit(): void {
    this.limit.restart(Math.max(1, Math.ceil(this.#pool.coldConcurrency / this.#hostCountBound)));
  }

  /** Restarts the limit if the upstream has warmed up after a start, not if it was only unknown. */
  #restartLimitIfWarmed(change: () => void, rampingKinds: readonly string[] = ['warming']): void {
    const before: string = this.health.state.kind;
    change();
    const after: string = this.health.state.kind;
    if (after === 'warm' && rampingKinds.includes(before)) {
      this.restartLimit();
    }
  }

  #recordLatency(outcome: AttemptOutcome): void {
    const baselineMs = this.#latencyMs ?? this.limit.baseLatencyMs ?? outcome.latencyMs;
    const isError = outcome.failure !== null && isUpstreamError(outcome.failure);
    const sampleMs = isError
      ? Math.max(outcome.latencyMs, baselineMs * FAILURE_LATENCY_FACTOR)
      : outcome.latencyMs;
    this.#latencyMs = baselineMs + LATENCY_SMOOTHING * (sampleMs - baselineMs);
    this.#latencyAtMs = this.#context.getNowMs();
  }

  #getDecayedOtherHostsCount(): number {
    const ageMs = this.#context.getNowMs() - this.#otherHostsReportedAtMs;
    return this.#otherHostsCount === 0
      ? 0
      : this.#otherHostsCount * getDecay(ageMs, OTHER_HOSTS_LOAD_HALF_LIFE_MS);
  }

  #getShare(): number {
    const { maxConcurrency } = this.#pool;
    const share = Math.ceil((maxConcurrency / this.#hostCountBound) * HOST_SHARE_FACTOR);
    return Math.max(1, Math.min(maxConcurrency, share));
  }

  /** Caps the limit at what other hosts leave unused, but never below this host's share. */
  #updateCap(): void {
    const remaining = this.#pool.maxConcurrency - Math.round(this.#otherHostsCount);
    this.limit.setCap(Math.max(this.#getShare(), remaining));
  }
}
