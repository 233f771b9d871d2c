import type { RandomSource } from '../lib/RandomSource.ts';
import { KEY_VALUE_CLASS, type KeyValueClass } from './KeyValueCall.ts';
import { TokenBucket } from './TokenBucket.ts';
import { DEFAULT_BREAKER_OPTIONS, type BreakerOptions } from './breaker/BreakerOptions.ts';
import { CallBreaker } from './breaker/CallBreaker.ts';

/** What a call costs the platform. */
export type CallDirection = 'read' | 'write';

/** Options of the budget. */
export interface CallBudgetOptions extends BreakerOptions {
  /** Writes in a second over the whole fleet. */
  readonly fleetWritesPerSecond: number;
  /** Reads and watches in a second over the whole fleet. */
  readonly fleetReadsPerSecond: number;
  /** Hosts among which the fleet's rates are split until `setHostCount`. */
  readonly hostCount: number;
  /** Part of a host's rate for each class. */
  readonly classFractions: Readonly<Record<KeyValueClass, number>>;
  /** Time whose tokens a bucket holds. */
  readonly burstMs: number;
  /** How long a call waits for its token at most. */
  readonly maxWaitMs: number;
  /** Time over which the rate grows back after an outage. */
  readonly rampMs: number;
  /** Part of the rate with which the growth begins. */
  readonly rampStartFraction: number;
}

/** Rates below the platform's several hundred writes and two thousand reads a second. */
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

/** Why no call may go out now. */
export interface CallRefusal {
  readonly kind: 'refused';
  readonly detail: string;
}

/** The call may go out after a delay. */
export interface CallPermit {
  readonly kind: 'granted';
  readonly delayMs: number;
}

/** Whether and when a call may go out. */
export type CallDecision = CallPermit | CallRefusal;

const MS_PER_SECOND = 1000;
const CLASSES = Object.values(KEY_VALUE_CLASS);
const DIRECTIONS: readonly CallDirection[] = ['read', 'write'];

/** The buckets of one direction: one for each class, and one for what the classes leave over. */
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
 * A host's share of the platform's calls: token buckets by class, a breaker for outages, and a
 * gradual return after them so that a fleet that comes back does not stampede.
 */
export class CallBudget {
  readonly #options: CallBudgetOptions;

  readonly #buckets: Readonly<Record<CallDirection, DirectionBuckets>>;

  /** The host's part of the fleet's rate by class. */
  readonly #shares: Record<KeyValueClass, number>;

  readonly #classesWithShare = new Set<KeyValueClass>();

  readonly #breaker: CallBreaker;

  #rampStartMs = -Infinity;

  /**
   * @param random - where the jitter comes from
   * @param nowMs - the monotonic time
   * @param options - what differs from the defaults
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

  /** Whether the service is taken for absent. */
  get isOpen(): boolean {
    return !this.#breaker.isClosed;
  }

  /** When the next probe of an absent service may go out; 0 for now. */
  get retryAtMs(): number {
    return this.#breaker.retryAtMs;
  }

  /**
   * Splits the fleet's rates evenly over another number of hosts. Classes with a share of their own
   * keep it.
   *
   * @param hostCount - hosts that use the platform, this one included
   */
  setHostCount(hostCount: number): void {
    CLASSES.filter((callClass) => !this.#classesWithShare.has(callClass)).forEach((callClass) => {
      this.#shares[callClass] = 1 / Math.max(1, hostCount);
    });
  }

  /**
   * Gives a class another share than an even one, such as by the duties that the host holds.
   *
   * @param callClass - the class
   * @param fraction - the host's part of the fleet's rate; the parts of all hosts add up to 1
   */
  setShare(callClass: KeyValueClass, fraction: number): void {
    this.#classesWithShare.add(callClass);
    this.#shares[callClass] = fraction;
  }

  /**
   * Asks for a call; when granted, its end must be told by `addSuccess` or `addFailure`.
   *
   * @param callClass - whose budget the call spends
   * @param direction - read or write
   * @param nowMs - the monotonic time
   * @returns whether and when the call may go out
   */
  acquire(callClass: KeyValueClass, direction: CallDirection, nowMs: number): CallDecision {
    if (!this.#breaker.tryStart(nowMs)) {
      return { kind: 'refused', detail: 'The platform does not answer; the next probe waits.' };
    }
    if (!this.#breaker.isClosed) {
      // A probe goes out at once: its backoff has spread it.
      return { kind: 'granted', delayMs: 0 };
    }
    this.#refill(nowMs);
    const { byClass, spare } = this.#buckets[direction];
    if (byClass[callClass].tryTake() || spare.tryTake()) {
      return { kind: 'granted', delayMs: 0 };
    }
    const delayMs = byClass[callClass].reserve(this.#options.maxWaitMs);
    return delayMs === null
      ? { kind: 'refused', detail: `The ${direction} budget of class ${callClass} is spent.` }
      : { kind: 'granted', delayMs };
  }

  /**
   * The service answered a call.
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
   * The service did not answer a call, or refused it.
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
