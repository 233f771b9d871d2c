import type { JobStage, PlacementJob } from './PlacementJob.ts';

/**
 * @param job - a request
 * @param stage - one of its stages
 * @returns the stages that take in its results
 */
export function getConsumers(job: PlacementJob, stage: JobStage): JobStage[] {
  return job.stages.filter((other) => other.after.includes(stage.index));
}

/**
 * @param job - a request
 * @param stage - one of its stages
 * @returns bytes that all its pieces take in
 */
export function getInputBytes(job: PlacementJob, stage: JobStage): number {
  const pieceBytes = stage.after.reduce((sum, index) => {
    const needed = job.stages[index];
    return sum + (needed === undefined ? 0 : needed.pieces.length * needed.resultBytes);
  }, 0);
  return pieceBytes * stage.pieces.length;
}

/**
 * @param job - a request
 * @param stage - one of its stages
 * @returns bytes that are taken in of its results by all that need them
 */
export function getOutputBytes(job: PlacementJob, stage: JobStage): number {
  const ownBytes = stage.pieces.length * stage.resultBytes;
  const consumers = getConsumers(job, stage);
  const pieceCount = consumers.reduce((sum, consumer) => sum + consumer.pieces.length, 0);
  return ownBytes * (consumers.length === 0 ? 1 : pieceCount);
}
