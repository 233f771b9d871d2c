import type { JobStage, PlacementJob } from './PlacementJob.ts';

/** How long a stage of a placed request took, for the log. */
export interface StageDescription {
  readonly poolId: string;
  readonly pieceCount: number;
  /** Time from the moment its pieces could be sent until the first one was; null if none was. */
  readonly waitMs: number | null;
  /** Time from there until its last piece was done; null if it was not. */
  readonly runMs: number | null;
}

/** How a request came to its engine, for the log. */
export interface PlacementDescription {
  readonly requestId: string;
  readonly kind: string;
  readonly priority: number;
  readonly engineId: string | null;
  /** Time left to meet its target; negative if it is sent too late. */
  readonly onTimeMs: number;
  readonly heldMs: number;
  readonly stages: readonly StageDescription[];
}

function getDifferenceMs(fromMs: number | null, untilMs: number | null): number | null {
  return fromMs === null || untilMs === null ? null : Math.round(untilMs - fromMs);
}

function describeStage({
  poolId, pieceCount, openedAtMs, sentAtMs, doneAtMs,
}: JobStage): StageDescription {
  return {
    poolId,
    pieceCount,
    waitMs: getDifferenceMs(openedAtMs, sentAtMs),
    runMs: getDifferenceMs(sentAtMs, doneAtMs),
  };
}

/**
 * @param job - a request for which an engine was chosen
 * @param nowMs - the current time
 * @returns how it came there: what it waited for, and how long
 */
export function describePlacement(job: PlacementJob, nowMs: number): PlacementDescription {
  const {
    request, stages, engineId, onTimeAtMs, arrivedAtMs,
  } = job;
  return {
    requestId: request.requestId,
    kind: request.kind,
    priority: request.priority,
    engineId,
    onTimeMs: Math.round(onTimeAtMs - nowMs),
    heldMs: Math.round(nowMs - arrivedAtMs),
    stages: stages.filter(({ pieceCount }) => pieceCount > 0).map(describeStage),
  };
}
