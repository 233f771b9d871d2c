import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { RandomSource } from '../lib/RandomSource.ts';
import type { UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';

/** Tries to open a new connection to an upstream. */
export type UpstreamProbe = (address: string) => Promise<boolean>;

/** Learns from exchanges with upstreams whether they are reachable. */
export interface UpstreamObserver {
  /** @param upstreamId - an upstream to which a request is sent */
  recordSend(upstreamId: UpstreamId): void;
  /** @param upstreamId - an upstream of which bytes have arrived */
  recordAnswer(upstreamId: UpstreamId): void;
  /** @param upstreamId - an upstream to which a connection could not be opened */
  recordUnreachable(upstreamId: UpstreamId): void;
}

/** Options of a {@link ReachabilityMonitor}. */
export interface ReachabilityMonitorOptions {
  readonly clock: Clock;
  readonly directory: Directory;
  readonly random: RandomSource;
  readonly probe: UpstreamProbe;
  readonly logger: Logger;
  /** Called when this host loses or regains its path to the upstreams. */
  readonly onChange: (isCutOff: boolean) => void;
}

interface Silence {
  /** Monotonic time of the first unanswered request. */
  readonly sinceMs: number;
  /** Monotonic time of the last request. */
  readonly lastSendAtMs: number;
}

const CHECK_INTERVAL_MS = 200;
/** Time after the last request to an upstream for which its silence counts. */
const SEND_TTL_MS = 3_000;
/** Silence of all upstreams after which new connections are tried. */
const SILENCE_MS = 1_000;
/** Time for which a failed connection counts. */
const FAILURE_TTL_MS = 2_000;
/** Shortest time between two probes while this host counts as connected. */
const MIN_PROBE_INTERVAL_MS = 1_000;
const PROBE_COUNT = 4;
/** Upstreams that are probed besides, before this host counts as cut off. */
const FURTHER_PROBE_COUNT = 28;
/** Fewer upstreams tell nothing: they may have failed on their own. */
const MIN_PROBE_COUNT = 2;

/**
 * Detects that this host has lost its path to all upstreams, while its callers, the store and other
 * hosts may still reach it. Answers show that the path is there; silence or failed connections to
 * several upstreams lead to probes by new connections, which decide.
 */
export class ReachabilityMonitor implements UpstreamObserver {
  readonly #options: ReachabilityMonitorOptions;

  /** The upstreams that have not answered since a request was sent to them. */
  readonly #silent = new Map<UpstreamId, Silence>();

  /** When a connection to each upstream last failed. Others may live on while new ones fail. */
  readonly #failedAtMs = new Map<UpstreamId, number>();

  #answeredAtMs = -Infinity;

  #probedAtMs = -Infinity;

  #isProbing = false;

  #isCutOff = false;

  #timer: NodeJS.Timeout | null = null;

  /**
   * @param options - see {@link ReachabilityMonitorOptions}
   */
  constructor(options: ReachabilityMonitorOptions) {
    this.#options = options;
  }

  /** Whether no upstream can be reached from this host. */
  get isCutOff(): boolean {
    return this.#isCutOff;
  }

  /** Starts the periodic check. */
  start(): void {
    this.#timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    this.#timer.unref();
  }

  /** Stops the periodic check. */
  close(): void {
    clearInterval(this.#timer ?? undefined);
  }

  /** @inheritdoc */
  recordSend(upstreamId: UpstreamId): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    const sinceMs = this.#silent.get(upstreamId)?.sinceMs ?? nowMs;
    this.#silent.set(upstreamId, { sinceMs, lastSendAtMs: nowMs });
  }

  /** @inheritdoc */
  recordAnswer(upstreamId: UpstreamId): void {
    this.#silent.delete(upstreamId);
    this.#answeredAtMs = this.#options.clock.getMonotonicMs();
  }

  /** @inheritdoc */
  recordUnreachable(upstreamId: UpstreamId): void {
    this.#silent.delete(upstreamId);
    this.#failedAtMs.set(upstreamId, this.#options.clock.getMonotonicMs());
  }

  /** Starts a probe if one is due. */
  check(): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    const isDue = this.#isCutOff
      || (this.#isSuspicious(nowMs) && nowMs - this.#probedAtMs >= MIN_PROBE_INTERVAL_MS);
    if (this.#isProbing || !isDue) {
      return;
    }
    this.#isProbing = true;
    this.#probedAtMs = nowMs;
    this.#probe()
      .catch((error: unknown) => this.#options.logger.error(
        { event: 'reachabilityProbeFailed', error: String(error) },
        'probing upstreams failed unexpectedly',
      ))
      .finally(() => {
        this.#isProbing = false;
      });
  }

  #isSuspicious(nowMs: number): boolean {
    this.#silent.forEach(({ lastSendAtMs }, upstreamId) => {
      if (nowMs - lastSendAtMs > SEND_TTL_MS) {
        this.#silent.delete(upstreamId);
      }
    });
    const silentCount = [...this.#silent.values()]
      .filter(({ sinceMs }) => nowMs - sinceMs >= SILENCE_MS).length;
    const isSilent = silentCount >= MIN_PROBE_COUNT && nowMs - this.#answeredAtMs >= SILENCE_MS;
    this.#failedAtMs.forEach((atMs, upstreamId) => {
      if (nowMs - atMs > FAILURE_TTL_MS) {
        this.#failedAtMs.delete(upstreamId);
      }
    });
    return isSilent || this.#failedAtMs.size >= MIN_PROBE_COUNT;
  }

  /** Opens new connections to some upstreams; the path is there if any succeeds. */
  async #probe(): Promise<void> {
    const targets = this.#chooseTargets();
    if (targets.length < MIN_PROBE_COUNT) {
      this.#setCutOff(false, targets.length, 0);
      return;
    }
    const first = targets.slice(0, PROBE_COUNT);
    // The first ones may all have crashed while others run.
    const further = this.#isCutOff ? [] : targets.slice(PROBE_COUNT);
    const reachedCount = await this.#countReached(first) || await this.#countReached(further);
    this.#setCutOff(reachedCount === 0, first.length + further.length, reachedCount);
  }

  async #countReached(targets: readonly UpstreamEntry[]): Promise<number> {
    const results = await Promise.all(targets.map(({ address }) => this.#options.probe(address)));
    return results.filter((isReached) => isReached).length;
  }

  /** Chooses upstreams of as many pools as possible, so that one failed service decides nothing. */
  #chooseTargets(): UpstreamEntry[] {
    const { directory, random } = this.#options;
    const shuffled = directory.getAllListed()
      .map(({ entry }) => ({ entry, order: random.getFraction() }))
      .sort((left, right) => left.order - right.order)
      .map(({ entry }) => entry);
    const seenPools = new Set<string>();
    const isNewPool = ({ poolId }: UpstreamEntry): boolean => (
      !seenPools.has(poolId) && seenPools.add(poolId).size > 0);
    const firsts = shuffled.filter(isNewPool);
    const others = shuffled.filter((entry) => !firsts.includes(entry));
    return [...firsts, ...others].slice(0, PROBE_COUNT + FURTHER_PROBE_COUNT);
  }

  #setCutOff(isCutOff: boolean, probedCount: number, reachedCount: number): void {
    if (this.#isCutOff === isCutOff) {
      return;
    }
    const { clock, logger, onChange } = this.#options;
    this.#isCutOff = isCutOff;
    logger.warn({
      event: isCutOff ? 'upstreamsLost' : 'upstreamsRegained',
      probedCount,
      reachedCount,
      answeredAgoMs: Math.round(clock.getMonotonicMs() - this.#answeredAtMs),
    }, isCutOff
      ? 'this host reaches no upstream; other hosts serve its requests and place for it'
      : 'this host reaches upstreams again');
    onChange(isCutOff);
  }
}
