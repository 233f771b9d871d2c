import type { StageCall, StageReply } from './StageCall.ts';

/** Sends the calls of batched stages; an adapter's part. */
export interface StageCaller {
  /**
   * @param call - the call
   * @param mayStart - asked when a connection is free for it; where it says no, nothing is sent
   * @returns what became of it; never rejects
   */
  run(call: StageCall, mayStart: () => boolean): Promise<StageReply>;
  /**
   * @param address - upstream that keeps the results
   * @param handles - results that nobody needs any more
   */
  release(address: string, handles: readonly string[]): Promise<void>;
}
