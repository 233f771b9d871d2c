import type { RequestAnswer } from '../answers/RequestAnswer.ts';
import type { HostId } from '../lib/ids.ts';
import type { RecordedOutcome } from './ClaimOperation.ts';

const MAX_DETAIL_CHARACTERS = 200;

/**
 * Creates the outcome to store in the claim log, bounded in size.
 *
 * @param answer - the final answer
 * @param hostId - the host that ran the request
 * @param maxBytes - largest size in JSON
 * @returns the answer; when it is too large, the digest of a completed one, or any other answer
 *   with a shortened detail and without stages
 */
export function createRecordedOutcome(
  answer: RequestAnswer,
  hostId: HostId,
  maxBytes: number,
): RecordedOutcome {
  if (Buffer.byteLength(JSON.stringify(answer)) <= maxBytes) {
    return { kind: 'answer', answer };
  }
  if (answer.kind === 'completed') {
    return { kind: 'digestOnly', digest: answer.digest, hostId };
  }
  const detail = answer.detail.slice(0, MAX_DETAIL_CHARACTERS);
  return { kind: 'answer', answer: { ...answer, detail, stages: [] } };
}
