import type { Directory } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { UpstreamCheck } from '../quarantine/UpstreamCheck.ts';
import type { Clock } from '../time/Clock.ts';
import type { LimitCoordinators } from './LimitCoordinators.ts';

/** Options of a {@link LimitMonitor}. */
export interface LimitMonitorOptions {
  readonly clock: Clock;
  readonly directory: Directory;
  readonly coordinators: LimitCoordinators;
  /** Checks an upstream's health and applies the limit that the answer advertises. */
  readonly check: UpstreamCheck;
}

const CHECK_INTERVAL_MS = 500;
/** Silence after which the coordinator probes an upstream: the window of a limit. */
const COORDINATOR_SILENCE_MS = 4_000;
/** Silence after which any other host probes, in case the coordinator does not. */
const OTHER_SILENCE_MS = 40_000;

/**
 * Probes limited upstreams that are silent because nothing is sent to them, to learn whether they
 * still advertise a limit.
 */
export class LimitMonitor {
  readonly #options: LimitMonitorOptions;

  readonly #probedAtMs = new Map<string, number>();

  #timer: NodeJS.Timeout | null = null;

  #isClosed = false;

  /**
   * @param options - see {@link LimitMonitorOptions}
   */
  constructor(options: LimitMonitorOptions) {
    this.#options = options;
    options.directory.onChange(({ kind }) => {
      if (kind === 'upstreamLimit') {
        this.#schedule();
      }
    });
  }

  /** Stops the periodic check. */
  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#timer ?? undefined);
  }

  /** Probes the limited upstreams whose silence is too long. */
  probeSilentUpstreams(): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    this.#options.directory.getLimitedUpstreams()
      .filter(({ entry, receivedAtMs: heardAtMs }) => {
        const silenceMs = this.#options.coordinators.isCoordinatedHere(entry)
          ? COORDINATOR_SILENCE_MS
          : OTHER_SILENCE_MS;
        const lastMs = Math.max(heardAtMs, this.#probedAtMs.get(entry.id) ?? -Infinity);
        return nowMs - lastMs >= silenceMs;
      })
      .forEach(({ entry }) => this.#probe(entry, nowMs));
  }

  #schedule(): void {
    if (this.#timer === null && !this.#isClosed) {
      this.#timer = setTimeout(() => {
        this.#timer = null;
        this.probeSilentUpstreams();
        if (this.#options.directory.getLimitedUpstreams().length > 0) {
          this.#schedule();
        } else {
          this.#probedAtMs.clear();
        }
      }, CHECK_INTERVAL_MS);
      this.#timer.unref();
    }
  }

  #probe(entry: UpstreamEntry, nowMs: number): void {
    const { directory, check } = this.#options;
    this.#probedAtMs.set(entry.id, nowMs);
    const healthPath = directory.configuration?.pools.get(entry.poolId)?.healthPath ?? '/';
    // Without an answer the limit stays as it is; the probe is repeated after the next silence.
    check.check(entry, healthPath).catch(() => 'unknown');
  }
}
