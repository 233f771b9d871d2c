import type { KnownUpstream } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { PermitResult } from '../rates/PermitClient.ts';
import type { RelayContext, RelayParameters } from './RelayContext.ts';

/** Options of {@link PermitFinder}. */
export interface PermitFinderOptions {
  readonly context: Pick<
    RelayContext,
    'clock' | 'directory' | 'rates' | 'permitClient' | 'metrics'
  >;
  readonly parameters: RelayParameters;
  /** Logs an event of the request. */
  readonly log: (outcome: string, details: Readonly<Record<string, unknown>>) => void;
  /** Runs an action later, unless the request has ended by then. */
  readonly after: (delayMs: number, action: () => void) => void;
}

/** Receives the outcome of the search. */
export interface PermitListener {
  /** @param entry - an upstream that a permit was granted for */
  readonly onGranted: (entry: UpstreamEntry) => void;
  /** Called when the upstream of the granted permit is no longer usable. */
  readonly onUpstreamGone: () => void;
  /** @param retryAfterMs - time until an upstream may accept a request */
  readonly onDenied: (retryAfterMs: number) => void;
}

/** Fraction of the target latency for the wait for a permit; the rest is for processing. */
const WAIT_FRACTION = 0.5;
/** The same below the highest priority: permits further ahead are left to urgent requests. */
const LESS_URGENT_WAIT_FRACTION = 0.25;
const HIGHEST_PRIORITY = 0;

/** Finds an upstream for one request among those that advertise a limit shared by all hosts. */
export class PermitFinder {
  readonly #options: PermitFinderOptions;

  /**
   * @param options - see {@link PermitFinderOptions}
   */
  constructor(options: PermitFinderOptions) {
    this.#options = options;
  }

  /**
   * Filters out the upstreams that this host has no permit for now.
   *
   * @param upstreams - open upstreams
   * @returns those that advertise no limit, or for which this host has a permit
   */
  select(upstreams: readonly KnownUpstream[]): KnownUpstream[] {
    const { rates, permitClient } = this.#options.context;
    if (rates.isUnlimited) {
      return [...upstreams];
    }
    const limited = upstreams.filter(({ entry }) => rates.isLimited(entry));
    if (limited.length > 0) {
      permitClient.exchangeReports(
        this.#options.parameters.poolId,
        limited.map(({ entry }) => entry),
      );
    }
    return upstreams.filter(({ entry }) => rates.canTakePermit(entry));
  }

  /**
   * Takes a permit for a send, if the upstream advertises a limit.
   *
   * @param entry - an upstream
   * @returns whether a request may be sent to it now
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
   * Requests a shared permit from the limit coordinators.
   *
   * @param upstreams - upstreams that advertise a limit and for which this host has no permit
   * @param listener - receives the outcome
   */
  find(upstreams: readonly KnownUpstream[], listener: PermitListener): void {
    const { context, log } = this.#options;
    const maxWaitMs = this.#getMaxWaitMs();
    const upstreamIds = upstreams.map(({ entry }) => entry.id);
    log('requestsPermit', { upstreamIds, maxWaitMs });
    context.permitClient.requestPermit(upstreams.map(({ entry }) => entry), maxWaitMs)
      .then((result) => this.#handleResult(result, listener))
      .catch((error: unknown) => {
        log('permitFailed', { error: String(error) });
        listener.onDenied(maxWaitMs);
      });
  }

  #handleResult(result: PermitResult, listener: PermitListener): void {
    const { context, log, after } = this.#options;
    log('permitDecided', { ...result });
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
    const { context, parameters } = this.#options;
    const fraction = parameters.priority === HIGHEST_PRIORITY
      ? WAIT_FRACTION
      : LESS_URGENT_WAIT_FRACTION;
    const remainingMs = parameters.deadlineAtMs - context.clock.getMonotonicMs();
    return Math.max(0, Math.min(
      parameters.route.targetLatencyMs * fraction,
      remainingMs * fraction,
    ));
  }
}
