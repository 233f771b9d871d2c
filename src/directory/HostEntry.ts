import type { HostId } from '../lib/ids.ts';
import type { EraBound } from './EraBound.ts';

/** Entry by which a host announces itself to the other hosts. */
export interface HostEntry {
  readonly id: HostId;
  readonly failureDomain: string;
  /** IP address and port for requests of peers. */
  readonly peerAddress: string;
  /** IP address and port for requests that other hosts pass on; absent in earlier versions. */
  readonly forwardingAddress?: string;
  /**
   * Whether it decides on such a request only by a configuration that is no older than the one of
   * the host that passes it on; absent in earlier versions, which do not compare.
   */
  readonly comparesConfigurations?: true;
  /** Number of processor cores that the host may use. */
  readonly processorCores: number;
  /** Bandwidth of the host's network link. */
  readonly linkMbps: number;
  /** Version of the configuration that it knew when it registered; absent when it knew none. */
  readonly configurationVersion?: number;
}

/** Entry of a host as read from the store. */
export interface KnownHost extends HostEntry {
  /** Store revision at which the host's process registered; the lowest belongs to the oldest. */
  readonly registeredRevision: EraBound;
}
