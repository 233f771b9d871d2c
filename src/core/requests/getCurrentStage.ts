import { assertExists } from '../../lib/assertExists.ts';
import type { RequestRecord, StageProgress } from '../tables/RequestRecord.ts';

/**
 * @param request - a request that is not answered
 * @returns the stage that is queued or running
 */
export function getCurrentStage(request: RequestRecord): StageProgress {
  return assertExists(request.stages[request.stageIndex], 'A request has a current stage');
}
