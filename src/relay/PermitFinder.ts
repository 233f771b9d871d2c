import type { KnownUpstream } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { PermitResult } from '../rates/PermitClient.ts';
import type { RelayContext, RelayParameters } from './RelayContext.ts';

/** What a finder is made of. */
export interface PermitFinderOptions {
  readonly context: Pick<RelayContext, 'clock' | 'directory' | 'rates' | 'leaves' | 'metrics'>;
  readonly parameters: RelayParameters;
  /** Writes a line about the request. */
  readonly log: (outcome: string, details: Readonly<Record<string, unknown>>) => void;
  /** Runs an action later, unless the request is over by then. */
  readonly after: (delayMs: number, action: () => void) => void;
}

/** Hears what became of the search. */
export interface PermitListener {
  /** @param entry - an upstream that may be sent to now */
  readonly onGranted: (entry: UpstreamEntry) => void;
  /** Called when the upstream that would have taken it is not there any more. */
  readonly onUpstreamGone: () => void;
  /** @param retryAfterMs - when an upstream may take one more */
  readonly onDenied: (retryAfterMs: number) => void;
}

/** Part of its target latency that a request waits for its turn; what is left is for the work. */
const WAIT_FRACTION = 0.5;
/** The same for a request that is not the most urgent: turns further ahead are left to those. */
const LESS_URGENT_WAIT_FRACTION = 0.25;
const HIGHEST_PRIORITY = 0;

/** Finds an upstream for one request among those that name a limit for all hosts together. */
export class PermitFinder {
  readonly #options: PermitFinderOptions;

  /**
   * @param parts - see {@link PermitFinderOptions}
   */
  constructor(parts: PermitFinderOptions) {
    this.#options = parts;
  }

  /**
   * Drops the upstreams that may not be sent to now.
   *
   * @param upstreams - open upstreams
   * @returns those that name no limit, or for which there is leave here
   */
  select(upstreams: readonly KnownUpstream[]): KnownUpstream[] {
    const { rates, permitClient: leaves } = this.#options.context;
    if (rates.isUnlimited) {
      return [...upstreams];
    }
    const limited = upstreams.filter(({ entry }) => rates.isLimited(entry));
    if (limited.length > 0) {
      leaves.exchangeReports(this.#options.parameters.poolId, limited.map(({ entry }) => entry));
    }
    return upstreams.filter(({ entry }) => rates.canTakePermit(entry));
  }

  /**
   * @param entry - an upstream that is sent to now
   * @returns whether it may be
   */
  tryTake(entry: UpstreamEntry): boolean {
    const { rates, metrics } = this.#options.context;
    if (!rates.isLimited(entry)) {
      return true;
    }
    if (rates.tryTakeSharedPermit(entry)) {
      metrics.recordLimitedSend('whole', 'common');
      return true;
    }
    const hasReserve = rates.tryTakeReserve(entry);
    metrics.recordLimitedSend('whole', hasReserve ? 'reserve' : 'none');
    return hasReserve;
  }

  /**
   * Asks the hosts that keep the sums.
   *
   * @param upstreams - upstreams that name a limit, and for which there is no leave here
   * @param listener - hears what became of it
   */
  find(upstreams: readonly KnownUpstream[], listener: PermitListener): void {
    const { context, log } = this.#options;
    const maxWaitMs = this.#getMaxWaitMs();
    const upstreamIds = upstreams.map(({ entry }) => entry.id);
    log('asksForLeave', { upstreamIds, maxWaitMs });
    context.permitClient.requestPermit(upstreams.map(({ entry }) => entry), maxWaitMs)
      .then((result) => this.#handleResult(result, listener))
      .catch((error: unknown) => {
        log('leaveFailed', { error: String(error) });
        listener.onDenied(maxWaitMs);
      });
  }

  #handleResult(result: PermitResult, listener: PermitListener): void {
    const { context, log, after } = this.#options;
    log('leaveDecided', { ...result });
    context.metrics.recordLimitedSend('whole', result.kind === 'granted' ? 'common' : 'none');
    switch (result.kind) {
      case 'granted':
        after(result.waitMs, () => {
          const upstream = context.directory.getUpstream(result.upstreamId);
          if (upstream !== undefined && context.directory.isUsable(result.upstreamId)) {
            listener.onGranted(upstream.entry);
          } else {
            listener.onUpstreamGone();
          }
        });
        return;
      case 'denied':
        listener.onDenied(result.retryAfterMs);
        return;
      default:
        throw exhaustiveSwitchError(result);
    }
  }

  #getMaxWaitMs(): number {
    const { context, parameters: terms } = this.#options;
    const part = terms.priority === HIGHEST_PRIORITY ? WAIT_FRACTION : LESS_URGENT_WAIT_FRACTION;
    const remainingMs = terms.deadlineAtMs - context.clock.getMonotonicMs();
    return Math.max(0, Math.min(terms.route.targetLatencyMs * part, remainingMs * part));
  }
}
