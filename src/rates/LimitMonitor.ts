import type { Directory } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { UpstreamCheck } from '../quarantine/UpstreamCheck.ts';
import type { Clock } from '../time/Clock.ts';
import type { LimitCoordinators } from './LimitCoordinators.ts';

/** What a probe is made of. */
export interface LimitMonitorOptions {
  readonly clock: Clock;
  readonly directory: Directory;
  readonly coordinators: LimitCoordinators;
  /** Asks for the health of an upstream; what its answer says of the limit is taken in. */
  readonly check: UpstreamCheck;
}

const CHECK_INTERVAL_MS = 500;
/** Silence after which the host that keeps the sum asks, once in the window of a limit. */
const COORDINATOR_SILENCE_MS = 4_000;
/** Silence after which any other host asks, which the one that keeps the sum has left alone. */
const OTHER_SILENCE_MS = 40_000;

/**
 * Asks upstreams that name a limit, and from which nothing comes any more since nothing is sent
 * there, whether they still do.
 */
export class LimitMonitor {
  readonly #options: LimitMonitorOptions;

  readonly #probedAtMs = new Map<string, number>();

  #timer: NodeJS.Timeout | null = null;

  #isClosed = false;

  /**
   * @param parts - see {@link LimitMonitorOptions}
   */
  constructor(parts: LimitMonitorOptions) {
    this.#options = parts;
    parts.directory.onChange(({ kind }) => {
      if (kind === 'upstreamLimit') {
        this.#schedule();
      }
    });
  }

  /** Ends the looks. */
  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#timer ?? undefined);
  }

  /** Asks those that are due. */
  probeSilentUpstreams(): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    this.#options.directory.getLimitedUpstreams()
      .filter(({ entry, receivedAtMs: heardAtMs }) => {
        const silenceMs = this.#options.coordinators.isCoordinatedHere(entry) ? COORDINATOR_SILENCE_MS : OTHER_SILENCE_MS;
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
    // No answer says nothing of the limit; it is asked again.
    check.check(entry, healthPath).catch(() => 'unknown');
  }
}
