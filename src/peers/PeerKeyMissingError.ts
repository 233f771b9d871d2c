/** Peers would talk without authentication over an address that others can reach. */
export class PeerKeyMissingError extends Error {
  /**
   * @param address - the address that is not on loopback
   */
  constructor(address: string) {
    super(
      `Peers at ${address} need a key: set peerKey in the settings, or listen at 127.0.0.1`,
    );
    this.name = 'PeerKeyMissingError';
  }
}
