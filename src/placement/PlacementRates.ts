import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { HostId } from '../lib/ids.ts';
import type { LimitReport } from '../rates/PermitMessage.ts';

/** The send rates of upstreams, as far as a placement coordinator needs them. */
export interface PlacementRates {
  /** Whether no upstream has advertised a limit. */
  readonly isUnlimited: boolean;
  /** Whether an upstream advertises a limit. */
  isLimited(entry: UpstreamEntry): boolean;
  /** Whether this host has a permit for one send of its own. */
  canTakePermit(entry: UpstreamEntry): boolean;
  /** Takes that permit; true without effect where no limit is advertised. */
  tryTakePermit(entry: UpstreamEntry): boolean;
  /** Whether this host, as limit coordinator, has a shared permit for another host. */
  canTakeSharedPermit(entry: UpstreamEntry): boolean;
  /** Takes that shared permit. */
  tryTakeSharedPermit(entry: UpstreamEntry): boolean;
  /** Sends per second that this host may make or permit; infinite where no limit is advertised. */
  getRatePerSecond(entry: UpstreamEntry): number;
  /** Time until this host has a shared permit for one of some upstreams with limits. */
  getSharedWaitMs(upstreams: readonly UpstreamEntry[]): number;
  /** The known limits of some upstreams, in the form that is reported to another host. */
  describeLimits(entries: readonly UpstreamEntry[]): LimitReport[];
  /** Applies the limits that another host has reported. */
  applyReports(reports: readonly LimitReport[], hostId: HostId): void;
}
