import type { PlacementJob } from './PlacementJob.ts';

/** What decides whether one waiting request goes before another. */
export interface Precedence {
  readonly job: PlacementJob;
  /** Whether the request can still be answered on time. */
  readonly canBeOnTime: boolean;
  /** Slack before it misses its latency target, or its deadline if the target is out of reach. */
  readonly slackMs: number;
}

/**
 * @param job - a request that waits for its stages
 * @param doneAtMs - when its remaining stages are done if it waits no more
 * @param canBeOnTime - whether it can be on time; by default, whether it is if it waits no more
 * @returns its precedence
 */
export function getPrecedence(
  job: PlacementJob,
  doneAtMs: number,
  canBeOnTime = doneAtMs <= job.onTimeAtMs,
): Precedence {
  const limitAtMs = canBeOnTime ? job.onTimeAtMs : job.deadlineAtMs;
  return { job, canBeOnTime, slackMs: limitAtMs - doneAtMs };
}

/**
 * Orders requests for a pool that can't do all of them at once: requests that can still be on time
 * first, the more urgent class before the less urgent one, then by shares, then the least slack.
 *
 * Load pattern: a burst that exceeds what the pool can do within the latency target. In order of
 * arrival all requests wait equally and all are late; in this order those served are on time.
 *
 * @param left - a request
 * @param right - another request
 * @returns negative when `left` goes first
 */
export function comparePrecedence(left: Precedence, right: Precedence): number {
  return Number(right.canBeOnTime) - Number(left.canBeOnTime)
    || left.job.request.priority - right.job.request.priority
    || left.job.shareRank - right.job.shareRank
    || left.slackMs - right.slackMs;
}

/**
 * Orders requests that wait for an engine: the more urgent class first, then by shares, then the
 * one that has to start first.
 *
 * @param left - a request
 * @param right - another request
 * @returns negative when `left` goes first
 */
export function compareForEngine(left: PlacementJob, right: PlacementJob): number {
  return left.request.priority - right.request.priority
    || left.shareRank - right.shareRank
    || left.onTimeAtMs - right.onTimeAtMs;
}
