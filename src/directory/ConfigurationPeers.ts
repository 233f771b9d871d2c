/** Path at which a host gives its configuration to other hosts. */
export const CONFIGURATION_PATH = '/configuration';

/** Reads the configuration of other hosts. */
export interface ConfigurationPeers {
  /**
   * @param peerAddress - IP address and port of the host to read from
   * @param newerThan - version that this host has; 0 when it has none
   * @returns the configuration of the other host in the store's encoding; null when its version is
   * no newer
   * @throws Error when the host gives no answer in time
   */
  read(peerAddress: string, newerThan: number): Promise<string | null>;
}
