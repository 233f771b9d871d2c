import type { UpstreamId } from '../lib/ids.ts';
import type { RolloutAttempt } from '../rollouts/RolloutRequest.ts';
import type { BufferedAnswer } from './BufferedAnswer.ts';
import { getAttemptVerdict } from './getAttemptVerdict.ts';
import type { RelayContext } from './RelayContext.ts';
import type { AttemptResult, RunningAttempt } from './sendAttempt.ts';
import type { AnswerHead } from './UpstreamProtocol.ts';

/** An attempt of a buffered relay that has not ended. */
export interface BufferedAttempt {
  readonly upstreamId: UpstreamId;
  /** Base URL of the upstream. */
  readonly url: string;
  readonly sentAtMs: number;
  running: RunningAttempt | null;
  head: AnswerHead | null;
  readonly answer: BufferedAnswer;
  /** Records it for the rollout in its pool; null when none runs. */
  readonly rolloutAttempt: RolloutAttempt | null;
}

/** Answer of an upstream that has ended. */
export interface UpstreamAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
  /** Whether a length or the last chunk marked its end. */
  readonly isEndMarked: boolean;
}

const LOWEST_FAILURE_STATUS = 500;

/**
 * Records the end of an attempt for a rollout.
 *
 * @param attempt - the attempt
 * @param end - how it ended
 */
export function recordRolloutEnd(
  { head, rolloutAttempt }: BufferedAttempt,
  end: AttemptResult,
): void {
  rolloutAttempt?.end(getAttemptVerdict(head, end));
}

/**
 * @param attempt - the attempt
 * @param end - how it ended
 * @param isOver - whether its request had its final answer before
 * @returns what its end shows about the state of its upstream
 */
export function getAttemptOutcome(
  { head }: BufferedAttempt,
  end: AttemptResult,
  isOver: boolean,
): 'good' | 'failed' | 'broken' | 'dropped' {
  if (isOver) {
    return 'dropped';
  }
  // An address that now belongs to another upstream refuses every request and would look idle.
  if (end.kind !== 'complete' || head === null || head.isWrongUpstream) {
    return 'broken';
  }
  return head.status >= LOWEST_FAILURE_STATUS ? 'failed' : 'good';
}

/**
 * Drops the connections to an upstream that was silent until the deadline. They may be cut off; new
 * connections show whether they are.
 *
 * @param attempt - an attempt that has no final answer at the deadline
 * @param context - the upstreams' state and connections
 * @param onError - called when the connections could not be closed
 */
export function dropIfSilent(
  { head, upstreamId, url }: BufferedAttempt,
  { upstreamTable, connections }: Pick<RelayContext, 'upstreamTable' | 'connections'>,
  onError: (error: unknown) => void,
): void {
  if (head === null) {
    upstreamTable.recordSilence(upstreamId);
    connections.remove(url).catch(onError);
  }
}
