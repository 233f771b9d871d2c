import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { UpstreamEntry, UpstreamLifetime } from '../directory/UpstreamEntry.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { PoolId, UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import { scheduleTimer, type Schedule } from '../time/scheduleTimer.ts';
import type { CrashReport } from './QuarantineStore.ts';
import type { Liveness, UpstreamCheck } from './UpstreamCheck.ts';

/** What a crash watch is made of. */
export interface CrashMonitorOptions {
  readonly clock: Clock;
  readonly directory: Directory;
  readonly check: UpstreamCheck;
  readonly logger: Logger;
  /** Hears of each crash, and again when more requests turn out to have been there. */
  readonly onCrash: (report: CrashReport, poolId: PoolId) => void;
  /** Runs an action later; replaced in tests. */
  readonly schedule?: Schedule;
}

/** An exchange that an upstream broke off. */
export interface BrokenExchange {
  /** The upstream, as it was when it was sent to. */
  readonly entry: UpstreamEntry;
  /** The request. */
  readonly fingerprint: string;
  /** Monotonic time at which it was sent. */
  readonly sentAtMs: number;
  /** Hears whether the upstream ended while the request was there; not where that stays open. */
  readonly onDecided?: (hasEndedUpstream: boolean) => void;
}

/** A start of an upstream that has broken exchanges off. */
interface SuspectedCrash {
  readonly crashId: string;
  readonly entry: UpstreamEntry;
  /** Requests that were there, with the wall time at which each was sent first. */
  readonly requests: Map<string, number>;
  readonly listeners: ((hasEnded: boolean) => void)[];
  /** When it broke the first one off; what was sent later was not there at its end. */
  brokenAtMs: number;
  state: 'checking' | 'unknown' | 'ended';
}

/** Time for the other exchanges with an upstream to break off as well. */
const CHECK_DELAY_MS = 100;
/** How long a case stays open for what is seen later. */
const SUSPECTED_CRASH_TTL_MS = 10_000;
/** Cases at the same time; a whole failure domain may end at once. */
const MAX_SUSPECTED_CRASHES = 1_000;
/** Requests that one report names. */
const MAX_REPORTED_REQUESTS = 64;

/**
 * @param lifetime - a start of an upstream
 * @returns its name, the same at all hosts
 */
export function getCrashId({ id, startedAtMs }: UpstreamLifetime): string {
  return `${id}@${startedAtMs ?? 0}`;
}

function notifyListeners({ listeners }: SuspectedCrash, hasEnded: boolean): void {
  listeners.splice(0).forEach((listener) => listener(hasEnded));
}

/**
 * Tells an upstream's end from a broken connection: an upstream that breaks an exchange off is
 * asked whether it lives. Where nothing comes back, the directory's word that it is gone decides.
 */
export class CrashMonitor {
  readonly #options: CrashMonitorOptions;

  readonly #schedule: Schedule;

  readonly #suspectedCrashes = new Map<string, SuspectedCrash>();

  /**
   * @param options - see {@link CrashMonitorOptions}
   */
  constructor(options: CrashMonitorOptions) {
    this.#options = options;
    this.#schedule = options.schedule ?? scheduleTimer;
    options.directory.onChange((change) => {
      if (change.kind === 'upstreamGone') {
        this.#handleUpstreamGone(change.upstreamId);
      }
    });
  }

  /** @param exchange - see {@link BrokenExchange} */
  recordBrokenExchange({
    entry, fingerprint, sentAtMs, onDecided = () => {},
  }: BrokenExchange): void {
    // An upstream that leaves ends by itself.
    if (this.#options.directory.isLeaving(entry)) {
      onDecided(false);
      return;
    }
    const suspectedCrash = this.#getOrCreateSuspectedCrash(entry);
    // One that gave no sign may live on.
    if (sentAtMs > suspectedCrash.brokenAtMs && suspectedCrash.state !== 'unknown') {
      onDecided(false);
      return;
    }
    if (suspectedCrash.requests.size < MAX_REPORTED_REQUESTS && !suspectedCrash.requests.has(fingerprint)) {
      suspectedCrash.requests.set(fingerprint, this.#getWallMs(sentAtMs));
    }
    this.#awaitDecision(suspectedCrash, onDecided);
  }

  #getOrCreateSuspectedCrash(entry: UpstreamEntry): SuspectedCrash {
    const crashId = getCrashId(entry);
    const known = this.#suspectedCrashes.get(crashId);
    if (known !== undefined) {
      return known;
    }
    const [oldest] = this.#suspectedCrashes.keys();
    if (oldest !== undefined && this.#suspectedCrashes.size >= MAX_SUSPECTED_CRASHES) {
      this.#suspectedCrashes.delete(oldest);
    }
    const crashCase: SuspectedCrash = {
      crashId,
      entry,
      requests: new Map(),
      listeners: [],
      brokenAtMs: this.#options.clock.getMonotonicMs(),
      state: 'checking',
    };
    this.#suspectedCrashes.set(crashId, crashCase);
    this.#schedule(CHECK_DELAY_MS, () => this.#check(crashCase));
    this.#schedule(SUSPECTED_CRASH_TTL_MS, () => this.#release(crashCase));
    return crashCase;
  }

  #awaitDecision(crashCase: SuspectedCrash, onDecided: (hasEnded: boolean) => void): void {
    switch (crashCase.state) {
      case 'checking':
        crashCase.listeners.push(onDecided);
        return;
      case 'unknown':
        crashCase.state = 'checking';
        crashCase.brokenAtMs = this.#options.clock.getMonotonicMs();
        crashCase.listeners.push(onDecided);
        this.#schedule(CHECK_DELAY_MS, () => this.#check(crashCase));
        return;
      case 'ended':
        onDecided(true);
        this.#schedule(CHECK_DELAY_MS, () => this.#report(crashCase));
        return;
      default:
        throw exhaustiveSwitchError(crashCase.state);
    }
  }

  /**
   * @param entry - a start of an upstream
   * @returns whether it lives, as far as it says
   */
  async queryLiveness(entry: UpstreamEntry): Promise<Liveness> {
    const { directory, check, logger } = this.#options;
    const healthPath = directory.configuration?.pools.get(entry.poolId)?.healthPath ?? '/';
    try {
      return await check.check(entry, healthPath);
    } catch (error) {
      logger.warn(
        { event: 'checkFailed', upstreamId: entry.id, error: String(error) },
        'asking an upstream whether it lives failed',
      );
      return 'unknown';
    }
  }

  #check(crashCase: SuspectedCrash): void {
    this.queryLiveness(crashCase.entry).then((liveness) => this.#handleLiveness(crashCase, liveness));
  }

  #handleLiveness(crashCase: SuspectedCrash, sign: Liveness): void {
    const { crashId, entry, state } = crashCase;
    this.#options.logger.info({
      event: 'upstreamChecked',
      upstreamId: entry.id,
      crashId,
      sign,
      requestCount: crashCase.requests.size,
    }, 'asked an upstream that broke off whether it lives');
    if (state === 'ended') {
      return;
    }
    switch (sign) {
      case 'alive':
        this.#release(crashCase);
        notifyListeners(crashCase, false);
        return;
      case 'ended':
        this.#confirmCrash(crashCase);
        return;
      case 'unknown':
        crashCase.state = 'unknown';
        return;
      default:
        throw exhaustiveSwitchError(sign);
    }
  }

  #handleUpstreamGone(upstreamId: UpstreamId): void {
    [...this.#suspectedCrashes.values()]
      .filter(({ entry, state }) => entry.id === upstreamId && state !== 'ended')
      .forEach((crashCase) => this.#confirmCrash(crashCase));
  }

  #confirmCrash(crashCase: SuspectedCrash): void {
    crashCase.state = 'ended';
    this.#report(crashCase);
    notifyListeners(crashCase, true);
  }

  /** Another case of the same start may have begun since. */
  #release(crashCase: SuspectedCrash): void {
    if (this.#suspectedCrashes.get(crashCase.crashId) === crashCase) {
      this.#suspectedCrashes.delete(crashCase.crashId);
    }
  }

  #report({
    crashId, entry, requests, brokenAtMs,
  }: SuspectedCrash): void {
    this.#options.onCrash({
      crashId,
      endedAtMs: this.#getWallMs(brokenAtMs),
      requests: [...requests].map(([fingerprint, sentAtMs]) => ({ fingerprint, sentAtMs })),
    }, entry.poolId);
  }

  #getWallMs(monotonicMs: number): number {
    const { clock } = this.#options;
    return clock.getWallMs() - (clock.getMonotonicMs() - monotonicMs);
  }
}
