import { REFUSAL_CODE } from '../../answers/REFUSAL_CODE.ts';
import type { CoreWorld } from '../CoreWorld.ts';
import type { RequestRecord } from '../tables/RequestRecord.ts';
import type { Refusal } from './Refusal.ts';

/**
 * @param world - the core's state
 * @param request - the request
 * @returns the refusal of a quarantined request; null when the request may be sent
 */
export function getQuarantineRefusal(world: CoreWorld, request: RequestRecord): Refusal | null {
  const verdict = world.quarantine.getRefusal(request.fingerprint);
  return verdict === null ? null : {
    code: REFUSAL_CODE.quarantined,
    detail: 'Upstreams died while they ran this request; it is not sent to any other',
    retryAfterMs: verdict.retryAfterMs,
  };
}
