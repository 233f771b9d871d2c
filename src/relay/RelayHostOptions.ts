import type { DirectoryStore } from '../directory/DirectoryStore.ts';
import type { HostId } from '../lib/ids.ts';
import type { QuarantineStore } from '../quarantine/QuarantineStore.ts';
import type { HealthClient } from '../quarantine/UpstreamCheck.ts';
import type { StageCaller } from '../placement/StageCaller.ts';
import type { UpstreamConnections } from '../upstreams/UpstreamConnections.ts';
import type { SharedBounds } from './HostShares.ts';
import type { UpstreamProtocol } from './UpstreamProtocol.ts';

/** What an entry host is told at its start. */
export interface RelayHostSettings {
  readonly hostId: HostId;
  readonly failureDomain: string;
  /** Processor cores that the process may use. */
  readonly processorCores: number;
  /** Bandwidth of the host's link. */
  readonly linkMbps: number;
  /** IP address and port for callers. */
  readonly callerAddress: string;
  /** IP address and port where the platform asks whether the host is ready. */
  readonly readinessAddress: string;
  readonly readinessPath: string;
  /** IP address and port for the other hosts. */
  readonly peerAddress: string;
  /** IP address and port where counters and latencies are served. */
  readonly metricsAddress: string;
  /** IP address and port of the store. */
  readonly storeAddress: string;
  /** How long one wait for changes in the store lasts. */
  readonly storeWaitMs: number;
  /** Unit of the waits where hosts follow one another; null where each follows the store. */
  readonly relayWaitMs: number | null;
  readonly sharedBounds: SharedBounds;
  /** Time from the signal to leave to the end of the process. */
  readonly graceMs: number;
}

/** What an entry host is made of besides its settings: the adapters. */
export interface RelayHostAdapters {
  readonly store: DirectoryStore & QuarantineStore;
  readonly protocol: UpstreamProtocol;
  readonly stageCaller: StageCaller;
  readonly upstreamCheck: HealthClient;
  readonly connections: UpstreamConnections;
}
