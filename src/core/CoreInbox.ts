import type {
  AttemptChunkInput, AttemptFailedInput, AttemptSucceededInput, RequestAbandonedInput,
  RequestResumedInput, RequestSubmittedInput,
} from './CoreInput.ts';

/** An attempt that ended, with or without a result. */
export type AttemptEndedInput = AttemptSucceededInput | AttemptFailedInput;

/** The inputs of one step, grouped by the system that processes and empties each list. */
export class CoreInbox {
  readonly submitted: RequestSubmittedInput[] = [];

  readonly callerChanges: (RequestAbandonedInput | RequestResumedInput)[] = [];

  readonly chunks: AttemptChunkInput[] = [];

  readonly attemptsEnded: AttemptEndedInput[] = [];
}

/**
 * Empties a list of the inbox.
 *
 * @param list - the list
 * @returns the items that it contained
 */
export function takeAll<T>(list: T[]): T[] {
  return list.length === 0 ? [] : list.splice(0, list.length);
}
