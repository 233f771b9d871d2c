import type { HostId } from '../lib/ids.ts';

/** What an entry host says of itself to the others. */
export interface HostEntry {
  readonly id: HostId;
  readonly failureDomain: string;
  /** IP address and port at which peers reach it. */
  readonly peerAddress: string;
  /** Processor cores that it may use. */
  readonly processorCores: number;
  /** Bandwidth of its link. */
  readonly linkMbps: number;
}

/** An entry host as the store shows it. */
export interface KnownHost extends HostEntry {
  /** The store's revision at which its process registered; the lower, the longer it is there. */
  readonly registeredRevision: number;
}
