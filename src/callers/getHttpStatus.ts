import { REFUSAL_CODE, type RefusalCode } from '../answers/REFUSAL_CODE.ts';

const STATUS_BY_CODE: Readonly<Record<RefusalCode, number>> = {
  [REFUSAL_CODE.inputInvalid]: 400,
  [REFUSAL_CODE.keyRequired]: 400,
  [REFUSAL_CODE.unauthenticated]: 401,
  [REFUSAL_CODE.pipelineUnknown]: 404,
  [REFUSAL_CODE.requestUnknown]: 404,
  [REFUSAL_CODE.outcomeUnknown]: 409,
  [REFUSAL_CODE.costCeiling]: 422,
  [REFUSAL_CODE.quarantined]: 422,
  [REFUSAL_CODE.keyReused]: 422,
  [REFUSAL_CODE.cancelled]: 499,
  [REFUSAL_CODE.upstreamFailed]: 502,
  [REFUSAL_CODE.notReady]: 503,
  [REFUSAL_CODE.overloaded]: 503,
  [REFUSAL_CODE.claimUnavailable]: 503,
  [REFUSAL_CODE.deadlineUnreachable]: 503,
  [REFUSAL_CODE.deadlineExceeded]: 504,
};

/**
 * Maps a refusal code to an HTTP status.
 *
 * @param code - reason for which a request has no result
 * @returns the HTTP status of the response
 */
export function getHttpStatus(code: RefusalCode): number {
  return STATUS_BY_CODE[code];
}
