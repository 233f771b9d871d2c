import type { PlacementReport } from '../placement/PlacementRequest.ts';
import type { AnswerHead } from './UpstreamProtocol.ts';

/** Reports to the placement coordinator on a request that its engine has not run. */
export type NotRunReport = Extract<PlacementReport['kind'], 'notTaken' | 'unreachable' | 'ended'>;

const STATUS_INPUT_GONE = 409;

/**
 * @param head - head of an answer by which an engine refused a request
 * @returns the report to the placement coordinator
 */
export function getRefusalReport({ status, isWrongUpstream }: AnswerHead): NotRunReport {
  if (isWrongUpstream) {
    return 'unreachable';
  }
  // A request that lacks one of its inputs must start again from its first stage.
  return status === STATUS_INPUT_GONE ? 'ended' : 'notTaken';
}
