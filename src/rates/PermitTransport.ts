import type { KnownHost } from '../directory/HostEntry.ts';
import type { PermitResponse, PermitRequest } from './PermitMessage.ts';

/** How the hosts that keep sums are asked. */
export interface PermitTransport {
  /**
   * @param keeper - the host
   * @param ask - what is wanted
   * @returns its answer; rejects when it gives none
   */
  requestPermit(keeper: KnownHost, ask: PermitRequest): Promise<PermitResponse>;
}
