import type { KeyValueAnswer, KeyValueCall, KeyValueClass } from './KeyValueCall.ts';

/** Client of the platform's key-value service. */
export interface KeyValueClient {
  /**
   * Makes one call. Never rejects: the answer describes a failure.
   *
   * @param callClass - the class whose budget the call spends
   * @param call - the call
   * @returns the answer; `unknown` when a swap may have taken effect
   */
  call(callClass: KeyValueClass, call: KeyValueCall): Promise<KeyValueAnswer>;
}
