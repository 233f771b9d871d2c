import type { HostId } from '../lib/ids.ts';

/** What a host that passes a request on tells the host that serves it. */
export interface ForwardingOrigin {
  /** The host that took the request from the caller. */
  readonly hostId: HostId;
  /** IP address and port at which that host answers other hosts. */
  readonly peerAddress: string;
  /** Lowest version of the configuration by which the request may be decided; 0 for any. */
  readonly configurationVersion: number;
}
