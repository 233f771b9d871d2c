import type { KnownHost } from '../directory/HostEntry.ts';
import type { RolloutReport, RolloutResponse } from './RolloutReport.ts';

/** Carries reports to the host that leads rollouts. */
export interface RolloutTransport {
  /**
   * @param leader - the host that leads
   * @param report - the report
   * @returns the response; rejects when none arrives
   */
  sendReport(leader: KnownHost, report: RolloutReport): Promise<RolloutResponse>;
}
