import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { UpstreamEntry, UpstreamLifetime } from '../directory/UpstreamEntry.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { PoolId, UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import { scheduleTimer, type Schedule } from '../time/scheduleTimer.ts';
import type { CrashReport } from './QuarantineStore.ts';
import type { SignOfLife, UpstreamCheck } from './UpstreamCheck.ts';

/** What a crash watch is made of. */
export interface CrashWatchParts {
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
interface CrashCase {
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
const SETTLE_MS = 100;
/** How long a case stays open for what is seen later. */
const CASE_TTL_MS = 10_000;
/** Cases at the same time; a whole failure domain may end at once. */
const MAX_CASES = 1_000;
/** Requests that one report names. */
const MAX_REQUESTS = 64;

/**
 * @param lifetime - a start of an upstream
 * @returns its name, the same at all hosts
 */
export function getCrashId({ id, startedAtMs }: UpstreamLifetime): string {
  return `${id}@${startedAtMs ?? 0}`;
}

function tellListeners({ listeners }: CrashCase, hasEnded: boolean): void {
  listeners.splice(0).forEach((listener) => listener(hasEnded));
}

/**
 * Tells an upstream's end from a broken connection: an upstream that breaks an exchange off is
 * asked whether it lives. Where nothing comes back, the directory's word that it is gone decides.
 */
export class CrashWatch {
  readonly #parts: CrashWatchParts;

  readonly #schedule: Schedule;

  readonly #cases = new Map<string, CrashCase>();

  /**
   * @param parts - see {@link CrashWatchParts}
   */
  constructor(parts: CrashWatchParts) {
    this.#parts = parts;
    this.#schedule = parts.schedule ?? scheduleTimer;
    parts.directory.onChange((change) => {
      if (change.kind === 'upstreamGone') {
        this.#noteGone(change.upstreamId);
      }
    });
  }

  /** @param exchange - see {@link BrokenExchange} */
  noteBroken({
    entry, fingerprint, sentAtMs, onDecided = () => {},
  }: BrokenExchange): void {
    // An upstream that leaves ends by itself.
    if (this.#parts.directory.isLeaving(entry)) {
      onDecided(false);
      return;
    }
    const crashCase = this.#getCase(entry);
    // One that gave no sign may live on.
    if (sentAtMs > crashCase.brokenAtMs && crashCase.state !== 'unknown') {
      onDecided(false);
      return;
    }
    if (crashCase.requests.size < MAX_REQUESTS && !crashCase.requests.has(fingerprint)) {
      crashCase.requests.set(fingerprint, this.#getWallMs(sentAtMs));
    }
    this.#goOn(crashCase, onDecided);
  }

  #getCase(entry: UpstreamEntry): CrashCase {
    const crashId = getCrashId(entry);
    const known = this.#cases.get(crashId);
    if (known !== undefined) {
      return known;
    }
    const [oldest] = this.#cases.keys();
    if (oldest !== undefined && this.#cases.size >= MAX_CASES) {
      this.#cases.delete(oldest);
    }
    const crashCase: CrashCase = {
      crashId,
      entry,
      requests: new Map(),
      listeners: [],
      brokenAtMs: this.#parts.clock.getMonotonicMs(),
      state: 'checking',
    };
    this.#cases.set(crashId, crashCase);
    this.#schedule(SETTLE_MS, () => this.#check(crashCase));
    this.#schedule(CASE_TTL_MS, () => this.#forget(crashCase));
    return crashCase;
  }

  #goOn(crashCase: CrashCase, onDecided: (hasEnded: boolean) => void): void {
    switch (crashCase.state) {
      case 'checking':
        crashCase.listeners.push(onDecided);
        return;
      case 'unknown':
        crashCase.state = 'checking';
        crashCase.brokenAtMs = this.#parts.clock.getMonotonicMs();
        crashCase.listeners.push(onDecided);
        this.#schedule(SETTLE_MS, () => this.#check(crashCase));
        return;
      case 'ended':
        onDecided(true);
        this.#schedule(SETTLE_MS, () => this.#report(crashCase));
        return;
      default:
        throw exhaustiveSwitchError(crashCase.state);
    }
  }

  /**
   * @param entry - a start of an upstream
   * @returns whether it lives, as far as it says
   */
  async ask(entry: UpstreamEntry): Promise<SignOfLife> {
    const { directory, check, logger } = this.#parts;
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

  #check(crashCase: CrashCase): void {
    this.ask(crashCase.entry).then((sign) => this.#takeSign(crashCase, sign));
  }

  #takeSign(crashCase: CrashCase, sign: SignOfLife): void {
    const { crashId, entry, state } = crashCase;
    this.#parts.logger.info({
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
        this.#forget(crashCase);
        tellListeners(crashCase, false);
        return;
      case 'ended':
        this.#end(crashCase);
        return;
      case 'unknown':
        crashCase.state = 'unknown';
        return;
      default:
        throw exhaustiveSwitchError(sign);
    }
  }

  #noteGone(upstreamId: UpstreamId): void {
    [...this.#cases.values()]
      .filter(({ entry, state }) => entry.id === upstreamId && state !== 'ended')
      .forEach((crashCase) => this.#end(crashCase));
  }

  #end(crashCase: CrashCase): void {
    crashCase.state = 'ended';
    this.#report(crashCase);
    tellListeners(crashCase, true);
  }

  /** Another case of the same start may have begun since. */
  #forget(crashCase: CrashCase): void {
    if (this.#cases.get(crashCase.crashId) === crashCase) {
      this.#cases.delete(crashCase.crashId);
    }
  }

  #report({
    crashId, entry, requests, brokenAtMs,
  }: CrashCase): void {
    this.#parts.onCrash({
      crashId,
      endedAtMs: this.#getWallMs(brokenAtMs),
      requests: [...requests].map(([fingerprint, sentAtMs]) => ({ fingerprint, sentAtMs })),
    }, entry.poolId);
  }

  #getWallMs(monotonicMs: number): number {
    const { clock } = this.#parts;
    return clock.getWallMs() - (clock.getMonotonicMs() - monotonicMs);
  }
}
