import type { AdmissionDecision } from '../../admission/Admission.ts';
import type { CoreWorld } from '../CoreWorld.ts';
import type { RequestRecord } from '../tables/RequestRecord.ts';
import type { Refusal } from './Refusal.ts';

/**
 * Asks whether a request can still be served in time and within its cost ceiling.
 *
 * @param world - the core's state
 * @param request - the request, at the stage that comes next
 * @returns the verdict
 */
export function getAdmissionDecision(world: CoreWorld, request: RequestRecord): AdmissionDecision {
  const account = world.configuration.accounts.get(request.accountId);
  return world.admission.decide({
    accountId: request.accountId,
    pipeline: request.pipeline,
    nextStageIndex: request.stageIndex,
    deadlineAtMs: request.deadlineAtMs,
    spentMicros: request.stages.reduce((sum, { costMicros }) => sum + costMicros, 0),
    costCeilingMicros: account?.requestCostCeilingMicros ?? 0,
  });
}

/**
 * @param world - the core's state
 * @param request - the request, at the stage that comes next
 * @returns why it can't be served; null when it can
 */
export function getAdmissionRefusal(world: CoreWorld, request: RequestRecord): Refusal | null {
  const verdict = getAdmissionDecision(world, request);
  return verdict.kind === 'refused' ? verdict : null;
}
