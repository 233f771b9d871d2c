import type { PlannedPiece } from './planBatches.ts';
import type { StageItem } from './StageCall.ts';

/**
 * @param planned - a piece that is sent now
 * @param nowMs - the time of the step
 * @returns the piece as its upstream needs it
 */
export function createStageItem({ job, stage, piece }: PlannedPiece, nowMs: number): StageItem {
  const inputs = stage.after.flatMap((index) => job.stages[index]?.pieces ?? [])
    .flatMap((needed) => (needed.handle === null ? [] : [needed.handle]));
  return {
    requestId: job.request.requestId,
    stageIndex: stage.index,
    pieceIndex: piece.index,
    remainingMs: Math.max(1, Math.floor(job.deadlineAtMs - nowMs)),
    key: stage.after.length === 0 ? job.request.pieceKey : null,
    inputs,
  };
}
