import type { FailureDomainId, HostId, IncarnationId } from '../lib/ids.ts';

/** Entry of a host in the platform's host list, which lags behind the registrations. */
export interface HostListEntry {
  readonly hostId: HostId;
  readonly incarnationId: IncarnationId;
  readonly failureDomainId: FailureDomainId;
  /** Address at which the host listens for peers, `IP:port`. */
  readonly peerAddress: string;
  readonly isLeaving: boolean;
}
