import type { KnownHost } from '../directory/HostEntry.ts';
import type { LeaveAnswer, LeaveAsk } from './RateMessage.ts';

/** How the hosts that keep sums are asked. */
export interface RatePeers {
  /**
   * @param keeper - the host
   * @param ask - what is wanted
   * @returns its answer; rejects when it gives none
   */
  ask(keeper: KnownHost, ask: LeaveAsk): Promise<LeaveAnswer>;
}
