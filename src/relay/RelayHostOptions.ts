import type { DirectoryStore } from '../directory/DirectoryStore.ts';
import type { HostId } from '../lib/ids.ts';
import type { QuarantineStore } from '../quarantine/QuarantineStore.ts';
import type { HealthClient } from '../quarantine/UpstreamCheck.ts';
import type { RolloutStore } from '../rollouts/RolloutStore.ts';
import type { StageCaller } from '../placement/StageCaller.ts';
import type { StreamVersionStore } from '../streams/StreamVersionStore.ts';
import type { UpstreamConnections } from '../upstreams/UpstreamConnections.ts';
import type { EngineProbe } from './EngineProbe.ts';
import type { SharedBounds } from './HostShares.ts';
import type { UpstreamProtocol } from './UpstreamProtocol.ts';

/** Settings of an entry host. */
export interface RelayHostSettings {
  readonly hostId: HostId;
  readonly failureDomain: string;
  /** Processor cores that the process may use. */
  readonly processorCores: number;
  /** Memory that the process may use. */
  readonly memoryBytes: number;
  /** Descriptors that the process may have open. */
  readonly maxFds: number;
  /** Bandwidth of the host's network link. */
  readonly linkMbps: number;
  /** IP address and port for callers. */
  readonly callerAddress: string;
  /** IP address and port of the platform's readiness check. */
  readonly readinessAddress: string;
  readonly readinessPath: string;
  /** IP address and port for the other hosts. */
  readonly peerAddress: string;
  /** IP address and port for requests that hosts without a path to the upstreams pass on. */
  readonly forwardingAddress: string;
  /** IP address and port of the metrics endpoint. */
  readonly metricsAddress: string;
  /** IP address and port of the store. */
  readonly storeAddress: string;
  /** Duration of one long poll for changes in the store. */
  readonly storeWaitMs: number;
  /** Unit of the waits when hosts relay changes to each other; null when each reads the store. */
  readonly relayWaitMs: number | null;
  readonly sharedBounds: SharedBounds;
  /** Share of a pool's requests that a bad target of a rollout may get, from all hosts. */
  readonly exposureShare: number;
  /** Time from the stop signal to the end of the process. */
  readonly graceMs: number;
}

/** Adapters of an entry host. */
export interface RelayHostAdapters {
  readonly store: DirectoryStore & QuarantineStore & RolloutStore & StreamVersionStore;
  readonly protocol: UpstreamProtocol;
  readonly stageCaller: StageCaller;
  readonly upstreamCheck: HealthClient;
  readonly engineProbe: EngineProbe;
  readonly connections: UpstreamConnections;
}
