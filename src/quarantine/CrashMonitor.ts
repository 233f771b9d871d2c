import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { UpstreamEntry, UpstreamLifetime } from '../directory/UpstreamEntry.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { PoolId, UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import { scheduleTimer, type Schedule } from '../time/scheduleTimer.ts';
import type { CrashReport } from './QuarantineStore.ts';
import type { SuspectId } from './SuspectId.ts';
import type { Liveness, UpstreamCheck } from './UpstreamCheck.ts';

/** Options of a {@link CrashMonitor}. */
export interface CrashMonitorOptions {
  readonly clock: Clock;
  readonly directory: Directory;
  readonly check: UpstreamCheck;
  readonly logger: Logger;
  /** Called for each crash, and again when more requests prove to have been affected by it. */
  readonly onCrash: (report: CrashReport, poolId: PoolId) => void;
  /** Runs an action after a delay; replaced in tests. */
  readonly schedule?: Schedule;
}

/** An exchange with an upstream whose connection broke before the answer was complete. */
export interface BrokenExchange {
  /** The upstream, as it was when the request was sent. */
  readonly entry: UpstreamEntry;
  /** What a crash may be blamed on: the request and the parts of its prompt. */
  readonly suspectIds: readonly SuspectId[];
  /** Monotonic time at which the request was sent. */
  readonly sentAtMs: number;
  /** Receives whether the upstream crashed while it ran the request; not called while unknown. */
  readonly onDecided?: (hasEndedUpstream: boolean) => void;
}

/** An upstream process with broken exchanges, which may have crashed. */
interface SuspectedCrash {
  readonly crashId: string;
  readonly entry: UpstreamEntry;
  /** What was in the broken exchanges, with the wall time at which each was first sent. */
  readonly suspects: Map<SuspectId, number>;
  readonly listeners: ((hasEnded: boolean) => void)[];
  /** When its first exchange broke; a request that was sent later was not running at the crash. */
  brokenAtMs: number;
  state: 'checking' | 'unknown' | 'ended';
}

/** Delay before the liveness check, in which further exchanges with the upstream may break. */
const CHECK_DELAY_MS = 100;
/** How long further broken exchanges are added to a suspected crash. */
const SUSPECTED_CRASH_TTL_MS = 10_000;
/** Suspected crashes kept at the same time; a whole failure domain may crash at once. */
const MAX_SUSPECTED_CRASHES = 1_000;
/** Suspects listed in one crash report, enough for the parts of all requests of one upstream. */
const MAX_REPORTED_SUSPECTS = 512;

/**
 * Gets the id of an upstream process's crash.
 *
 * @param lifetime - the upstream and the time its process started
 * @returns the id, the same at all hosts
 */
export function getCrashId({ id, startedAtMs }: UpstreamLifetime): string {
  return `${id}@${startedAtMs ?? 0}`;
}

function addSuspects(
  { suspects }: SuspectedCrash,
  suspectIds: readonly SuspectId[],
  sentAtMs: number,
): void {
  suspectIds.forEach((suspectId) => {
    if (suspects.size < MAX_REPORTED_SUSPECTS && !suspects.has(suspectId)) {
      suspects.set(suspectId, sentAtMs);
    }
  });
}

function notifyListeners({ listeners }: SuspectedCrash, hasEnded: boolean): void {
  listeners.splice(0).forEach((listener) => listener(hasEnded));
}

/**
 * Distinguishes a crash of an upstream from a broken connection by a liveness check of the upstream
 * after a broken exchange. If the check gets no response, the directory's report that the upstream
 * is gone decides.
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

  /**
   * Records a broken exchange and checks whether the upstream crashed.
   *
   * @param exchange - see {@link BrokenExchange}
   */
  recordBrokenExchange({
    entry, suspectIds, sentAtMs, onDecided = () => {},
  }: BrokenExchange): void {
    // A leaving upstream stops as planned: this is no crash.
    if (this.#options.directory.isLeaving(entry)) {
      onDecided(false);
      return;
    }
    const suspectedCrash = this.#getOrCreateSuspectedCrash(entry);
    // An upstream of unknown liveness may still be running, so later requests count too.
    if (sentAtMs > suspectedCrash.brokenAtMs && suspectedCrash.state !== 'unknown') {
      onDecided(false);
      return;
    }
    addSuspects(suspectedCrash, suspectIds, this.#getWallMs(sentAtMs));
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
    const suspectedCrash: SuspectedCrash = {
      crashId,
      entry,
      suspects: new Map(),
      listeners: [],
      brokenAtMs: this.#options.clock.getMonotonicMs(),
      state: 'checking',
    };
    this.#suspectedCrashes.set(crashId, suspectedCrash);
    this.#schedule(CHECK_DELAY_MS, () => this.#check(suspectedCrash));
    this.#schedule(SUSPECTED_CRASH_TTL_MS, () => this.#release(suspectedCrash));
    return suspectedCrash;
  }

  #awaitDecision(suspectedCrash: SuspectedCrash, onDecided: (hasEnded: boolean) => void): void {
    switch (suspectedCrash.state) {
      case 'checking':
        suspectedCrash.listeners.push(onDecided);
        return;
      case 'unknown':
        suspectedCrash.state = 'checking';
        suspectedCrash.brokenAtMs = this.#options.clock.getMonotonicMs();
        suspectedCrash.listeners.push(onDecided);
        this.#schedule(CHECK_DELAY_MS, () => this.#check(suspectedCrash));
        return;
      case 'ended':
        onDecided(true);
        this.#schedule(CHECK_DELAY_MS, () => this.#report(suspectedCrash));
        return;
      default:
        throw exhaustiveSwitchError(suspectedCrash.state);
    }
  }

  /**
   * Queries whether an upstream process is alive.
   *
   * @param entry - the upstream, with the time its process started
   * @returns its liveness; `unknown` if the check fails
   */
  async queryLiveness(entry: UpstreamEntry): Promise<Liveness> {
    const { directory, check, logger } = this.#options;
    const healthPath = directory.configuration?.pools.get(entry.poolId)?.healthPath ?? '/';
    try {
      return await check.check(entry, healthPath);
    } catch (error) {
      logger.warn(
        { event: 'checkFailed', upstreamId: entry.id, error: String(error) },
        'the liveness check of an upstream failed',
      );
      return 'unknown';
    }
  }

  #check(suspectedCrash: SuspectedCrash): void {
    this.queryLiveness(suspectedCrash.entry)
      .then((liveness) => this.#handleLiveness(suspectedCrash, liveness));
  }

  #handleLiveness(suspectedCrash: SuspectedCrash, liveness: Liveness): void {
    const { crashId, entry, state } = suspectedCrash;
    this.#options.logger.info({
      event: 'upstreamChecked',
      upstreamId: entry.id,
      crashId,
      sign: liveness,
      suspectCount: suspectedCrash.suspects.size,
    }, 'checked the liveness of an upstream after a broken exchange');
    if (state === 'ended') {
      return;
    }
    switch (liveness) {
      case 'alive':
        this.#release(suspectedCrash);
        notifyListeners(suspectedCrash, false);
        return;
      case 'ended':
        this.#confirmCrash(suspectedCrash);
        return;
      case 'unknown':
        suspectedCrash.state = 'unknown';
        return;
      default:
        throw exhaustiveSwitchError(liveness);
    }
  }

  #handleUpstreamGone(upstreamId: UpstreamId): void {
    [...this.#suspectedCrashes.values()]
      .filter(({ entry, state }) => entry.id === upstreamId && state !== 'ended')
      .forEach((suspectedCrash) => this.#confirmCrash(suspectedCrash));
  }

  #confirmCrash(suspectedCrash: SuspectedCrash): void {
    suspectedCrash.state = 'ended';
    this.#report(suspectedCrash);
    notifyListeners(suspectedCrash, true);
  }

  /** A newer suspected crash of the same process may have replaced this one; that one stays. */
  #release(suspectedCrash: SuspectedCrash): void {
    if (this.#suspectedCrashes.get(suspectedCrash.crashId) === suspectedCrash) {
      this.#suspectedCrashes.delete(suspectedCrash.crashId);
    }
  }

  #report({
    crashId, entry, suspects, brokenAtMs,
  }: SuspectedCrash): void {
    this.#options.onCrash({
      crashId,
      endedAtMs: this.#getWallMs(brokenAtMs),
      suspects: [...suspects].map(([suspectId, sentAtMs]) => ({ suspectId, sentAtMs })),
    }, entry.poolId);
  }

  #getWallMs(monotonicMs: number): number {
    const { clock } = this.#options;
    return clock.getWallMs() - (clock.getMonotonicMs() - monotonicMs);
  }
}
