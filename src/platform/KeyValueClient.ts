import type { KeyValueAnswer, KeyValueCall, KeyValueClass } from './KeyValueCall.ts';

/** A way to the platform's key-value service. */
export interface KeyValueClient {
  /**
   * Makes one call. Never rejects: what went wrong is in the answer.
   *
   * @param callClass - whose budget the call spends
   * @param call - the call
   * @returns the answer; `unknown` when a swap may have taken effect
   */
  call(callClass: KeyValueClass, call: KeyValueCall): Promise<KeyValueAnswer>;
}
