import type { Directory, KnownUpstream } from '../directory/Directory.ts';
import type { UpstreamId } from '../lib/ids.ts';
import { PrefillLoads } from '../prefill/PrefillLoads.ts';
import type { QuotaBorrower } from '../quotas/QuotaBorrower.ts';
import type { Clock } from '../time/Clock.ts';
import { chooseEngine } from './chooseEngine.ts';
import type { EnginePermits } from './EnginePermits.ts';
import type { EngineRoom } from './EngineRoom.ts';
import type { EngineStarts } from './EngineStarts.ts';
import { getPrefillTokens, type EngineTable } from './EngineTable.ts';
import { getGroupUpstreams } from './getGroupUpstreams.ts';
import { getLastStages, type PlacementJob } from './PlacementJob.ts';
import { getResultBytesByDomain } from './stageBytes.ts';

/** Dependencies of an {@link EngineSelector}. */
export interface EngineSelectorOptions {
  readonly clock: Clock;
  readonly directory: Directory;
  /** Grants sends to upstreams with a cold start limit. */
  readonly quotas: Pick<QuotaBorrower, 'isOpenTo'>;
  readonly engines: EngineTable;
  readonly permits: EnginePermits;
  readonly room: EngineRoom;
  readonly starts: EngineStarts;
  /**
   * @param job - a request that waits for a permit
   * @param engines - its engines, all of which advertise limits
   */
  readonly onHeld: (job: PlacementJob, engines: readonly KnownUpstream[]) => void;
}

/** Selects the engine for a request among those that may get it now. */
export class EngineSelector {
  readonly #options: EngineSelectorOptions;

  readonly #prefills = new PrefillLoads();

  /**
   * @param options - see {@link EngineSelectorOptions}
   */
  constructor(options: EngineSelectorOptions) {
    this.#options = options;
  }

  /**
   * @param job - a request whose stages are done
   * @returns the engine; null if none may get it now
   */
  select(job: PlacementJob): UpstreamId | null {
    const { request } = job;
    const { clock, directory, starts } = this.#options;
    const nowMs = clock.getMonotonicMs();
    const hasLimits = this.#hasEngineLimits(job);
    const candidates = this.#getOpen(job)
      .filter(({ entry }) => this.#options.quotas.isOpenTo(entry, request.hostId))
      .map(({ entry }) => ({
        engine: this.#options.engines.get(entry.id),
        failureDomain: entry.failureDomain,
        workTimeFactor: starts.getWorkTimeFactor(entry.id),
      }))
      .filter(({ engine }) => engine.avoidUntilMs <= nowMs)
      .filter(({ engine }) => this.#options.room.hasRoom(engine.id, request))
      .filter(({ engine }) => !hasLimits || this.#prefills.isOpen(engine, {
        prefillTokens: getPrefillTokens(engine, request), onTimeAtMs: job.onTimeAtMs,
      }, nowMs));
    return chooseEngine(candidates, {
      parts: request.parts,
      promptTokens: request.promptTokens,
      inputBytes: getResultBytesByDomain(getLastStages(job), directory),
    });
  }

  /**
   * Counts a request at the engine that was selected for it.
   *
   * @param job - the request
   * @param engineId - the engine
   */
  recordPlaced({ request }: PlacementJob, engineId: UpstreamId): void {
    const { clock, engines, room } = this.#options;
    const prefillTokens = getPrefillTokens(engines.get(engineId), request);
    this.#prefills.recordPlaced(prefillTokens, clock.getMonotonicMs());
    room.place(engineId, request);
    this.#options.starts.recordPlaced(engines.get(engineId), request);
  }

  #hasEngineLimits({ request }: PlacementJob): boolean {
    const pool = this.#options.directory.configuration?.pools.get(request.poolId);
    return pool !== undefined && pool.engine !== null;
  }

  /** Returns the engines of the request's group that may get it by the limits they advertise. */
  #getOpen(job: PlacementJob): KnownUpstream[] {
    const { directory, permits } = this.#options;
    const engines = getGroupUpstreams(directory, job.request);
    const open = engines.filter(({ entry }) => permits.isOpenTo(entry, job.request));
    if (engines.length > 0 && open.length === 0) {
      this.#options.onHeld(job, engines);
    }
    return open;
  }
}
