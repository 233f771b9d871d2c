/** Thrown when unauthenticated peer connections would use an address beyond loopback. */
export class PeerKeyMissingError extends Error {
  /**
   * @param address - the address
   */
  constructor(address: string) {
    super(
      `Peer listener at ${address} needs a key: set peerKey in the settings or listen at 127.0.0.1`,
    );
    this.name = 'PeerKeyMissingError';
  }
}
