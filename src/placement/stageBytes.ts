import type { Directory } from '../directory/Directory.ts';
import type { JobStage, PlacementJob } from './PlacementJob.ts';

/**
 * @param job - a request
 * @param stage - one of its stages
 * @returns the stages that use its results as inputs
 */
export function getConsumers(job: PlacementJob, stage: JobStage): JobStage[] {
  return job.stages.filter((other) => other.after.includes(stage.index));
}

/**
 * @param job - a request
 * @param stage - one of its stages
 * @returns the sum of the inputs of all its pieces, in bytes
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
 * @returns the bytes that all its consumers read of its results
 */
export function getOutputBytes(job: PlacementJob, stage: JobStage): number {
  const ownBytes = stage.pieces.length * stage.resultBytes;
  const consumers = getConsumers(job, stage);
  const pieceCount = consumers.reduce((sum, consumer) => sum + consumer.pieces.length, 0);
  return ownBytes * (consumers.length === 0 ? 1 : pieceCount);
}

/**
 * @param stages - stages of a request
 * @param directory - knows the failure domains of the upstreams that store their results
 * @returns the bytes of the results, by failure domain
 */
export function getResultBytesByDomain(
  stages: readonly JobStage[],
  directory: Directory,
): Map<string, number> {
  const bytes = new Map<string, number>();
  stages.forEach((stage) => stage.pieces.forEach((piece) => {
    const maker = piece.makerId === null ? undefined : directory.getUpstream(piece.makerId);
    if (maker !== undefined) {
      const domain = maker.entry.failureDomain;
      bytes.set(domain, (bytes.get(domain) ?? 0) + stage.resultBytes);
    }
  }));
  return bytes;
}
