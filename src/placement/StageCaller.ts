import type { StageCall, StageOutcome } from './StageCall.ts';

/** Sends the calls of batched stages; an adapter's part. */
export interface StageCaller {
  /**
   * @param call - the call
   * @returns what became of it; never rejects
   */
  run(call: StageCall): Promise<StageOutcome>;
  /**
   * @param address - upstream that keeps the results
   * @param handles - results that nobody needs any more
   */
  free(address: string, handles: readonly string[]): Promise<void>;
}
