import type { Logger } from 'pino';
import { ConfigurationCatchUp } from '../directory/ConfigurationCatchUp.ts';
import type { Directory } from '../directory/Directory.ts';
import type { DirectoryStore } from '../directory/DirectoryStore.ts';
import { getMaxDirectoryAgeMs } from '../directory/getMaxDirectoryAgeMs.ts';
import { HttpConfigurationPeers } from '../directory/HttpConfigurationPeers.ts';
import { PeerConfigurationCheck } from '../directory/PeerConfigurationCheck.ts';
import { SystemRandomSource } from '../lib/SystemRandomSource.ts';
import type { Clock } from '../time/Clock.ts';
import type { UpstreamConnections } from '../upstreams/UpstreamConnections.ts';
import { ConfigurationFloor } from './ConfigurationFloor.ts';
import { ForwardingPeers } from './ForwardingPeers.ts';
import type { ForwardingOrigin } from './ForwardingOrigin.ts';
import { PeerLiveness } from './PeerLiveness.ts';
import type { RelayHostSettings } from './RelayHostOptions.ts';

/** Dependencies of {@link createForwarding}. */
export interface ForwardingDependencies {
  readonly clock: Clock;
  readonly settings: RelayHostSettings;
  readonly directory: Directory;
  readonly store: DirectoryStore;
  readonly connections: UpstreamConnections;
  readonly logger: Logger;
}

/** What a host needs to pass requests on, and to serve those of other hosts. */
export interface Forwarding {
  /** Chooses the hosts that serve requests while this one reaches no upstream. */
  readonly peers: ForwardingPeers;
  /** Knows which of these hosts are silent. */
  readonly liveness: PeerLiveness;
  /** The lowest version of the configuration by which requests to this host may be decided. */
  readonly configurationFloor: ConfigurationFloor;
  /** Reads the configuration from another host that is ahead of this one. */
  readonly configurationCatchUp: ConfigurationCatchUp;
  /** Confirms the configuration of this host with other hosts while the store is silent. */
  readonly configurationCheck: PeerConfigurationCheck;
  /** @returns what this host tells of itself with a request that it passes on now */
  readonly getOrigin: () => ForwardingOrigin;
}

/**
 * @param dependencies - see {@link ForwardingDependencies}
 * @returns the parts, connected with one another
 */
export function createForwarding({
  clock, settings, directory, store, connections, logger,
}: ForwardingDependencies): Forwarding {
  const { hostId, peerAddress } = settings;
  const random = new SystemRandomSource();
  const liveness = new PeerLiveness({ directory, connections, logger });
  const configurationFloor = new ConfigurationFloor(directory);
  const configurationCatchUp = new ConfigurationCatchUp({
    directory, store, peers: new HttpConfigurationPeers(connections), logger,
  });
  return {
    peers: new ForwardingPeers(clock, hostId, directory, random, liveness),
    liveness,
    configurationFloor,
    configurationCatchUp,
    configurationCheck: new PeerConfigurationCheck({
      clock,
      hostId,
      directory,
      catchUp: configurationCatchUp,
      random,
      maxAgeMs: getMaxDirectoryAgeMs(settings),
      logger,
    }),
    getOrigin: () => ({
      hostId, peerAddress, configurationVersion: configurationFloor.version,
    }),
  };
}
