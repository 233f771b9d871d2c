import type { Directory } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { SendRateLimiter } from '../rates/SendRateLimiter.ts';
import type { Clock } from '../time/Clock.ts';
import type { EngineProbe, ProbeResult } from './EngineProbe.ts';

/** Options of a {@link SilentEngineCheck}. */
export interface SilentEngineCheckOptions {
  readonly clock: Clock;
  readonly directory: Directory;
  readonly rates: SendRateLimiter;
  readonly probe: EngineProbe;
}

/** What to do with a request whose engine is silent. */
export interface SilenceDecision {
  readonly mayMoveOn: boolean;
  /** Result of the probe; null when the engine may not be probed. */
  readonly result: ProbeResult | null;
  readonly tookMs: number;
}

/** Longest time for which a sound engine does not respond. */
const MAX_SOUND_SILENCE_MS = 1_500;
/** An engine that answers a probe within this time was responding all the while. */
const RESPONSIVE_MS = 200;

/**
 * Decides whether a request may move on from a silent engine to another one. Load pattern: sound
 * engines stop for a second, neither reading nor writing, and then go on with all their requests.
 * Such an engine does not notice meanwhile that its connection was closed, so that two engines
 * would work on the request. One that responds drops it at the close.
 */
export class SilentEngineCheck {
  readonly #options: SilentEngineCheckOptions;

  /**
   * @param options - see {@link SilentEngineCheckOptions}
   */
  constructor(options: SilentEngineCheckOptions) {
    this.#options = options;
  }

  /**
   * @param entry - the engine that a request waits for
   * @returns the decision, once it is known whether the engine responds
   */
  async decide(entry: UpstreamEntry): Promise<SilenceDecision> {
    const {
      clock, directory, rates, probe,
    } = this.#options;
    if (!directory.isUsable(entry.id) || rates.isLimited(entry)) {
      // The engine wants no further calls.
      return { mayMoveOn: true, result: null, tookMs: 0 };
    }
    const startedAtMs = clock.getMonotonicMs();
    const result = await probe.probe(entry, MAX_SOUND_SILENCE_MS);
    const tookMs = clock.getMonotonicMs() - startedAtMs;
    // An engine that has just resumed is likely to go on with the request.
    const hasResumed = result.kind === 'answered' && tookMs > RESPONSIVE_MS;
    return { mayMoveOn: !hasResumed, result, tookMs };
  }
}
