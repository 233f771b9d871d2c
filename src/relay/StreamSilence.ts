import type { UpstreamId } from '../lib/ids.ts';
import type { RelayContext } from './RelayContext.ts';
import type { ReservedRetry } from './ReservedRetry.ts';
import { SilenceMonitor } from './SilenceMonitor.ts';
import type { RunningAttempt } from './sendAttempt.ts';

/** Options of a {@link StreamSilence}. */
export interface StreamSilenceOptions {
  readonly context: Pick<RelayContext, 'directory' | 'silentEngineCheck'>;
  readonly retry: ReservedRetry;
  /** @returns the attempt that is running; null while there is none */
  readonly getRunning: () => RunningAttempt | null;
  /** @returns the engine of the running attempt */
  readonly getEngineId: () => UpstreamId | null;
  /** @returns the last event that the caller has */
  readonly getLastEventId: () => number | null;
  /** @returns whether the stream may go on at another engine */
  readonly mayGoOn: () => boolean;
  /** @returns whether a retry of the request is reserved, now or before */
  readonly tryReserveRetry: () => boolean;
  /** Logs an event of the request. */
  readonly log: (outcome: string, details?: Readonly<Record<string, unknown>>) => void;
}

/**
 * Ends an attempt whose engine has been silent for too long, so that the stream goes on elsewhere.
 * An engine that may be sound keeps it, as does any engine when no retry is left.
 */
export class StreamSilence {
  readonly #options: StreamSilenceOptions;

  readonly #monitor: SilenceMonitor;

  /**
   * @param options - see {@link StreamSilenceOptions}
   */
  constructor(options: StreamSilenceOptions) {
    this.#options = options;
    this.#monitor = new SilenceMonitor((silenceMs) => {
      this.#check(silenceMs).catch((error: unknown) => {
        options.log('silenceCheckFailed', { error: String(error) });
      });
    });
  }

  /** @param silenceMs - longest allowed silence from now on */
  start(silenceMs: number): void {
    this.#monitor.start(silenceMs);
  }

  /** Stops watching. */
  stop(): void {
    this.#monitor.stop();
  }

  async #check(silenceMs: number): Promise<void> {
    const {
      context, retry, getRunning, getEngineId, getLastEventId, mayGoOn, tryReserveRetry, log,
    } = this.#options;
    const running = getRunning();
    const engineId = getEngineId();
    const engine = engineId === null ? undefined : context.directory.getUpstream(engineId)?.entry;
    if (running !== null && !mayGoOn()) {
      this.#monitor.start(silenceMs);
      return;
    }
    if (running === null || !tryReserveRetry()) {
      return;
    }
    const lastEventId = getLastEventId();
    const decision = engine === undefined
      ? null
      : await context.silentEngineCheck.decide(engine);
    if (getRunning() !== running) {
      return;
    }
    log('silenceChecked', { silenceMs, upstreamId: engine?.id, ...decision });
    if (getLastEventId() !== lastEventId) {
      retry.release();
    } else if (decision === null || decision.mayMoveOn) {
      running.abort(`silent for ${Math.round(silenceMs)} ms`);
    } else {
      retry.release();
      this.#monitor.start(silenceMs);
    }
  }
}
