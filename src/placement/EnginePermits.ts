import type { Directory } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { UpstreamId } from '../lib/ids.ts';
import type { PlacementJob } from './PlacementJob.ts';
import type { PlacementRates } from './PlacementRates.ts';
import type { PlacementRequest, PlacementResult } from './PlacementRequest.ts';
import { compareForEngine } from './Precedence.ts';
import { getGroupUpstreams } from './getGroupUpstreams.ts';

const MS_PER_SECOND = 1_000;

/** The permit for a chosen engine, with the limit to report. */
export type EnginePermit = Pick<
  Extract<PlacementResult, { kind: 'placed' }>,
  'leave' | 'limitReports'
>;

/**
 * Decides which engines with advertised limits may get a request now. The permit is a shared one
 * from this host, if it coordinates the engine's limit, or from the reserve of the requesting host.
 */
export class EnginePermits {
  readonly #directory: Directory;

  readonly #rates: PlacementRates;

  /**
   * @param directory - the known engines
   * @param rates - the send rates of the engines
   */
  constructor(directory: Directory, rates: PlacementRates) {
    this.#directory = directory;
    this.#rates = rates;
  }

  /**
   * @param entry - an engine
   * @param request - the request to place
   * @returns whether the engine may get it now
   */
  isOpenTo(entry: UpstreamEntry, { limitReports }: PlacementRequest): boolean {
    return !this.#rates.isLimited(entry)
      || this.#rates.canTakeSharedPermit(entry)
      || limitReports.some(({ upstreamId, hasReserve }) => hasReserve && upstreamId === entry.id);
  }

  /**
   * @param engineId - the engine chosen for a request
   * @returns the origin of the permit, and the known limit of the engine
   */
  take(engineId: UpstreamId): EnginePermit {
    const entry = this.#directory.getUpstream(engineId)?.entry;
    if (entry === undefined) {
      return { leave: null, limitReports: [] };
    }
    // The requesting host may not know yet that a limit was lifted.
    const limitReports = this.#rates.describeLimits([entry]);
    if (!this.#rates.isLimited(entry)) {
      return { leave: null, limitReports };
    }
    return { leave: this.#rates.tryTakeSharedPermit(entry) ? 'common' : 'reserve', limitReports };
  }

  /**
   * @param job - the request to place
   * @param jobs - the requests that wait or are placed
   * @returns the time until an engine can get it, after the waiting requests that go before it, if
   * all engines advertise limits; 0 if one of them advertises none
   */
  getWaitMs(job: PlacementJob, jobs: Iterable<PlacementJob>): number {
    const { request } = job;
    if (this.#rates.isUnlimited) {
      return 0;
    }
    const { poolId } = request;
    const engines = getGroupUpstreams(this.#directory, request)
      .map(({ entry }) => entry);
    const perSecond = engines.reduce((sum, entry) => sum + this.#rates.getRatePerSecond(entry), 0);
    if (engines.length === 0 || perSecond === Infinity) {
      return 0;
    }
    const firstWaitMs = engines.some((entry) => this.isOpenTo(entry, request))
      ? 0
      : this.#rates.getSharedWaitMs(engines);
    const aheadCount = [...jobs].filter((other) => other.state !== 'placed'
      && other.request.poolId === poolId
      && compareForEngine(other, job) <= 0).length;
    return aheadCount === 0
      ? firstWaitMs
      : firstWaitMs + (aheadCount / perSecond) * MS_PER_SECOND;
  }
}
