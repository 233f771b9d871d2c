import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { Clock } from '../time/Clock.ts';
import type { EnginePermits } from './EnginePermits.ts';
import type { PlacementJob } from './PlacementJob.ts';
import { REFUSAL, type Refusal } from './PlacementRequest.ts';
import type { StageScheduler } from './StageScheduler.ts';

/** What refusals are made from. */
export interface PlacementRefusalsOptions {
  readonly clock: Clock;
  readonly directory: Directory;
  readonly logger: Logger;
  readonly scheduler: StageScheduler;
  readonly permits: EnginePermits;
  /** The requests that are placed or wait. */
  readonly jobs: ReadonlyMap<string, PlacementJob>;
}

/** Longest time of which a caller is told to stay away from engines that name limits. */
const MAX_LIMITED_RETRY_AFTER_MS = 20_000;
/** Shortest time after which a refused caller is asked back. */
const MIN_RETRY_AFTER_MS = 100;

/** Refuses requests that can't be placed, with a reason and a time to come back. */
export class PlacementRefusals {
  readonly #options: PlacementRefusalsOptions;

  /**
   * @param parts - see {@link PlacementRefusalsOptions}
   */
  constructor(parts: PlacementRefusalsOptions) {
    this.#options = parts;
  }

  /**
   * @param job - a request whose stages can't be done in time
   * @param expectedMs - the time that they are expected to take
   * @param allowedMs - the time that they may take
   */
  refuseTooLate(job: PlacementJob, expectedMs: number, allowedMs: number): void {
    this.#refuse(job, REFUSAL.tooLate, expectedMs - allowedMs, expectedMs);
  }

  /** @param job - a request that has no turn in time at engines that all name limits */
  refuseLimited(job: PlacementJob): void {
    const waitMs = this.#options.permits.getWaitMs(job.request, this.#options.jobs.values());
    this.#refuse(job, REFUSAL.limited, Math.min(MAX_LIMITED_RETRY_AFTER_MS, waitMs));
  }

  /** @param job - a request that has waited until it can't be done any more */
  refuseExpired(job: PlacementJob): void {
    if (job.state !== 'awaitingEngine') {
      this.#refuse(job, REFUSAL.tooLate, MIN_RETRY_AFTER_MS);
    } else if (job.isHeldByLimit) {
      this.refuseLimited(job);
    } else {
      this.#refuse(job, REFUSAL.noEngine, MIN_RETRY_AFTER_MS);
    }
  }

  #refuse(
    job: PlacementJob,
    reason: Refusal,
    retryAfterMs: number,
    expectedMs = this.#options.scheduler.getLeastMs(job),
  ): void {
    const {
      clock, directory, logger, scheduler, permits: leaves, jobs,
    } = this.#options;
    logger.info({
      event: 'placementRefused',
      requestId: job.request.requestId,
      reason,
      remainingMs: Math.round(job.deadlineAtMs - clock.getMonotonicMs()),
      leastMs: Math.round(scheduler.getLeastMs(job)),
      expectedMs: Math.round(expectedMs),
      engineWaitMs: Math.round(leaves.getWaitMs(job.request, jobs.values())),
      version: directory.configuration?.version ?? null,
      waitingCount: [...jobs.values()].filter(({ state }) => state !== 'placed').length,
    }, 'refused a placement');
    job.answer({
      kind: 'refused', reason, retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, retryAfterMs),
    });
  }
}
