import type { StageCall, StageReply } from './StageCall.ts';

/** Sends the calls of batched stages; implemented by the platform adapter. */
export interface StageCaller {
  /**
   * Sends a call.
   *
   * @param call - the call
   * @param mayStart - called when a connection is free; if it returns false, nothing is sent
   * @returns the outcome of the call; never rejects
   */
  run(call: StageCall, mayStart: () => boolean): Promise<StageReply>;
  /**
   * Releases results.
   *
   * @param address - address of the upstream that stores the results
   * @param handles - results that are not needed any more
   */
  release(address: string, handles: readonly string[]): Promise<void>;
}
