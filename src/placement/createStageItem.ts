import type { PlannedPiece } from './planBatches.ts';
import type { StageItem } from './StageCall.ts';

/**
 * @param planned - the piece to send
 * @param nowMs - the current time
 * @returns the item for the call to the upstream
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
