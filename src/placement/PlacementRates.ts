import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { HostId } from '../lib/ids.ts';
import type { LimitReport } from '../rates/PermitMessage.ts';

/** What the host that places needs of the rates at which upstreams may be sent to. */
export interface PlacementRates {
  /** Whether no upstream has named a limit. */
  readonly isUnlimited: boolean;
  /** Whether an upstream names a limit. */
  isLimited(entry: UpstreamEntry): boolean;
  /** Whether one send from this host may go out now. */
  canTakePermit(entry: UpstreamEntry): boolean;
  /** Takes leave for that; without effect, and true, where no limit is named. */
  tryTakePermit(entry: UpstreamEntry): boolean;
  /** Whether a send from another host may go out now, by leave of this one. */
  canTakeSharedPermit(entry: UpstreamEntry): boolean;
  /** Takes leave for that. */
  tryTakeSharedPermit(entry: UpstreamEntry): boolean;
  /** Sends a second that this host may make or hand out; infinite where no limit is named. */
  getRatePerSecond(entry: UpstreamEntry): number;
  /** When this host may hand out a send to one of some upstreams that name limits. */
  getSharedWaitMs(upstreams: readonly UpstreamEntry[]): number;
  /** What is known of the limits of some upstreams, for another host. */
  describeLimits(entries: readonly UpstreamEntry[]): LimitReport[];
  /** Takes in what another host knows of limits. */
  applyReports(reports: readonly LimitReport[], hostId: HostId): void;
}
