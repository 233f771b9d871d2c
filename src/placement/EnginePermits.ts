import type { Directory } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { UpstreamId } from '../lib/ids.ts';
import type { PlacementJob } from './PlacementJob.ts';
import type { PlacementRates } from './PlacementRates.ts';
import type { PlacementRequest, PlacementResult } from './PlacementRequest.ts';
import { getGroupUpstreams } from './getGroupUpstreams.ts';

const MS_PER_SECOND = 1_000;

/** What is told of the limit of an engine that was chosen. */
export type EnginePermit = Pick<
  Extract<PlacementResult, { kind: 'placed' }>,
  'leave' | 'limitReports'
>;

/**
 * Says which engines may get a request now where they name limits. Leave is the placing host's,
 * when that keeps the sum of the engine, or lies in the reserve of the host that asks.
 */
export class EnginePermits {
  readonly #directory: Directory;

  readonly #rates: PlacementRates;

  /**
   * @param directory - what is known of engines
   * @param rates - how often they may be sent to
   */
  constructor(directory: Directory, rates: PlacementRates) {
    this.#directory = directory;
    this.#rates = rates;
  }

  /**
   * @param entry - an engine
   * @param request - a request that is to be placed
   * @returns whether the engine may get it now
   */
  isOpenTo(entry: UpstreamEntry, { limitReports }: PlacementRequest): boolean {
    return !this.#rates.isLimited(entry)
      || this.#rates.canTakeSharedPermit(entry)
      || limitReports.some(({ upstreamId, hasReserve }) => hasReserve && upstreamId === entry.id);
  }

  /**
   * @param engineId - an engine that gets a request now
   * @returns by which leave, and what is known of its limit
   */
  take(engineId: UpstreamId): EnginePermit {
    const entry = this.#directory.getUpstream(engineId)?.entry;
    if (entry === undefined) {
      return { leave: null, limitReports: [] };
    }
    // The host that asks may not have heard that a limit was lifted.
    const limitReports = this.#rates.describeLimits([entry]);
    if (!this.#rates.isLimited(entry)) {
      return { leave: null, limitReports };
    }
    return { leave: this.#rates.tryTakeSharedPermit(entry) ? 'common' : 'reserve', limitReports };
  }

  /**
   * @param request - a request that is to be placed
   * @param jobs - requests that are placed or wait
   * @returns how long it waits for an engine where all of them name limits, until those that wait
   * and go before it have been sent; 0 where one names none
   */
  getWaitMs(request: PlacementRequest, jobs: Iterable<PlacementJob>): number {
    if (this.#rates.isUnlimited) {
      return 0;
    }
    const { poolId, domains, excludedIds } = request;
    const engines = getGroupUpstreams(this.#directory, poolId, domains, excludedIds)
      .map(({ entry }) => entry);
    const perSecond = engines.reduce((sum, entry) => sum + this.#rates.getRatePerSecond(entry), 0);
    if (engines.length === 0 || perSecond === Infinity) {
      return 0;
    }
    const firstWaitMs = engines.some((entry) => this.isOpenTo(entry, request))
      ? 0
      : this.#rates.getSharedWaitMs(engines);
    const aheadCount = [...jobs].filter(({ state, request: other }) => (
      state !== 'placed' && other.poolId === poolId && other.priority <= request.priority)).length;
    return aheadCount === 0
      ? firstWaitMs
      : firstWaitMs + (aheadCount / perSecond) * MS_PER_SECOND;
  }
}
