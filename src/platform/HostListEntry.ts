import type { FailureDomainId, HostId, IncarnationId } from '../lib/ids.ts';

/** A host as the platform's lagging host list shows it. */
export interface HostListEntry {
  readonly hostId: HostId;
  readonly incarnationId: IncarnationId;
  readonly failureDomainId: FailureDomainId;
  /** Where the host listens for peers, `IP:port`. */
  readonly peerAddress: string;
  readonly isLeaving: boolean;
}
