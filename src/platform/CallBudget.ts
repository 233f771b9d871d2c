import type { RandomSource } from '../lib/RandomSource.ts';
import { KEY_VALUE_CLASS, type KeyValueClass } from './KeyValueCall.ts';
import { TokenBucket } from './TokenBucket.ts';
import { DEFAULT_BREAKER_OPTIONS, type BreakerOptions } from './breaker/BreakerOptions.ts';
import { CallBreaker } from './breaker/CallBreaker.ts';

/** Whether a call spends the platform's read rate or its write rate. */
export type CallDirection = 'read' | 'write';

/** Options of {@link CallBudget}. */
export interface CallBudgetOptions extends BreakerOptions {
  /** Writes per second by the whole fleet. */
  readonly fleetWritesPerSecond: number;
  /** Reads and watches per second by the whole fleet. */
  readonly fleetReadsPerSecond: number;
  /** Hosts among which the fleet's rates are split until `setHostCount`. */
  readonly hostCount: number;
  /** Fraction of a host's rate for each class. */
  readonly classFractions: Readonly<Record<KeyValueClass, number>>;
  /** Capacity of a bucket, as the time in which its rate fills it. */
  readonly burstMs: number;
  /** Longest time that a call waits for its token. */
  readonly maxWaitMs: number;
  /** Time over which the rate ramps up to its full value after an outage. */
  readonly rampMs: number;
  /** Fraction of the rate at which the ramp starts. */
  readonly rampStartFraction: number;
}

/** Default rates, below the platform's several hundred writes and two thousand reads a second. */
export const DEFAULT_CALL_BUDGET_OPTIONS: CallBudgetOptions = {
  ...DEFAULT_BREAKER_OPTIONS,
  fleetWritesPerSecond: 300,
  fleetReadsPerSecond: 1500,
  hostCount: 8,
  classFractions: {
    lease: 0.3, claim: 0.4, configuration: 0.15, cost: 0.15,
  },
  burstMs: 250,
  maxWaitMs: 500,
  rampMs: 2000,
  rampStartFraction: 0.1,
};

/** The call must not be sent now. */
export interface CallRefusal {
  readonly kind: 'refused';
  readonly detail: string;
}

/** The call may be sent after a delay. */
export interface CallPermit {
  readonly kind: 'granted';
  readonly delayMs: number;
}

/** Whether and when a call may be sent. */
export type CallDecision = CallPermit | CallRefusal;

const MS_PER_SECOND = 1000;
const CLASSES = Object.values(KEY_VALUE_CLASS);
const DIRECTIONS: readonly CallDirection[] = ['read', 'write'];

/** The buckets of one direction: one per class, and one for tokens that overflow those. */
interface DirectionBuckets {
  readonly byClass: Readonly<Record<KeyValueClass, TokenBucket>>;
  readonly spare: TokenBucket;
}

function createBuckets(nowMs: number): DirectionBuckets {
  const createBucket = () => new TokenBucket(0, 1, nowMs);
  return {
    byClass: {
      lease: createBucket(),
      claim: createBucket(),
      configuration: createBucket(),
      cost: createBucket(),
    },
    spare: createBucket(),
  };
}

/**
 * Limits a host's calls to its share of the platform's rates: token buckets by class, a circuit
 * breaker for outages, and a ramp after an outage that prevents a thundering herd of all hosts.
 */
export class CallBudget {
  readonly #options: CallBudgetOptions;

  readonly #buckets: Readonly<Record<CallDirection, DirectionBuckets>>;

  /** The host's fraction of the fleet's rate, by class. */
  readonly #shares: Record<KeyValueClass, number>;

  readonly #classesWithShare = new Set<KeyValueClass>();

  readonly #breaker: CallBreaker;

  #rampStartMs = -Infinity;

  /**
   * @param random - source of the jitter
   * @param nowMs - the monotonic time
   * @param options - overrides of the defaults
   */
  constructor(random: RandomSource, nowMs: number, options: Partial<CallBudgetOptions> = {}) {
    this.#options = { ...DEFAULT_CALL_BUDGET_OPTIONS, ...options };
    this.#buckets = { read: createBuckets(nowMs), write: createBuckets(nowMs) };
    const share = 1 / this.#options.hostCount;
    this.#shares = {
      lease: share, claim: share, configuration: share, cost: share,
    };
    this.#breaker = new CallBreaker(random, this.#options);
    this.#resize(nowMs);
  }

  /** Whether the breaker is open because the service does not answer. */
  get isOpen(): boolean {
    return !this.#breaker.isClosed;
  }

  /** When the next probe of the service may be sent; 0 for now. */
  get retryAtMs(): number {
    return this.#breaker.retryAtMs;
  }

  /**
   * Splits the fleet's rates evenly over a changed number of hosts. Classes whose share was set by
   * `setShare` keep it.
   *
   * @param hostCount - hosts that use the platform, this one included
   */
  setHostCount(hostCount: number): void {
    CLASSES.filter((callClass) => !this.#classesWithShare.has(callClass)).forEach((callClass) => {
      this.#shares[callClass] = 1 / Math.max(1, hostCount);
    });
  }

  /**
   * Sets the share of a class, for example in proportion to the duties that the host holds.
   *
   * @param callClass - the class
   * @param fraction - its fraction of the fleet's rate; the fractions of all hosts add up to 1
   */
  setShare(callClass: KeyValueClass, fraction: number): void {
    this.#classesWithShare.add(callClass);
    this.#shares[callClass] = fraction;
  }

  /**
   * Requests a permit for one call. A granted call must be followed by `recordSuccess` or
   * `recordFailure`.
   *
   * @param callClass - the class whose budget the call spends
   * @param direction - read or write
   * @param nowMs - the monotonic time
   * @returns whether and when the call may be sent
   */
  acquire(callClass: KeyValueClass, direction: CallDirection, nowMs: number): CallDecision {
    if (!this.#breaker.tryStart(nowMs)) {
      return { kind: 'refused', detail: 'The platform does not answer; the next probe waits.' };
    }
    if (!this.#breaker.isClosed) {
      // A probe needs no token: the backoff with jitter spreads the probes of all hosts.
      return { kind: 'granted', delayMs: 0 };
    }
    this.#refill(nowMs);
    const { byClass, spare } = this.#buckets[direction];
    if (byClass[callClass].tryTake() || spare.tryTake()) {
      return { kind: 'granted', delayMs: 0 };
    }
    const delayMs = byClass[callClass].reserve(this.#options.maxWaitMs);
    return delayMs === null
      ? { kind: 'refused', detail: `The ${direction} budget of class ${callClass} is exhausted.` }
      : { kind: 'granted', delayMs };
  }

  /**
   * Records a call that the service answered.
   *
   * @param nowMs - the monotonic time
   */
  recordSuccess(nowMs: number): void {
    const wasOpen = this.isOpen;
    this.#breaker.recordSuccess(nowMs);
    if (wasOpen) {
      this.#rampStartMs = nowMs;
      this.#refill(nowMs);
      this.#empty();
    }
  }

  /**
   * Records a call that the service did not answer, or refused.
   *
   * @param nowMs - the monotonic time
   */
  recordFailure(nowMs: number): void {
    this.#breaker.recordFailure(nowMs);
  }

  #refill(nowMs: number): void {
    this.#resize(nowMs);
    DIRECTIONS.forEach((direction) => {
      const { byClass, spare } = this.#buckets[direction];
      CLASSES.forEach((callClass) => spare.add(byClass[callClass].refill(nowMs)));
    });
  }

  #resize(nowMs: number): void {
    const { classFractions } = this.#options;
    const ramp = this.#getRampFraction(nowMs);
    DIRECTIONS.forEach((direction) => {
      const { byClass, spare } = this.#buckets[direction];
      const fleetRate = direction === 'write'
        ? this.#options.fleetWritesPerSecond
        : this.#options.fleetReadsPerSecond;
      const rates = CLASSES.map((callClass) => {
        const rate = fleetRate * classFractions[callClass] * this.#shares[callClass] * ramp;
        byClass[callClass].resize(rate, this.#getCapacity(rate));
        return rate;
      });
      const totalRate = rates.reduce((sum, rate) => sum + rate, 0);
      spare.resize(0, this.#getCapacity(totalRate));
    });
  }

  #getCapacity(ratePerSecond: number): number {
    return Math.max(1, (ratePerSecond * this.#options.burstMs) / MS_PER_SECOND);
  }

  #getRampFraction(nowMs: number): number {
    const { rampMs, rampStartFraction } = this.#options;
    const progress = Math.min(1, (nowMs - this.#rampStartMs) / rampMs);
    return rampStartFraction + (1 - rampStartFraction) * progress;
  }

  #empty(): void {
    DIRECTIONS.forEach((direction) => {
      const { byClass, spare } = this.#buckets[direction];
      CLASSES.forEach((callClass) => byClass[callClass].empty());
      spare.empty();
    });
  }
}
