/** Constants of the protocol between entry hosts. */
export const PEER_PROTOCOL = {
  /** Oldest protocol version that this program supports. */
  minVersion: 1,
  /** Newest protocol version that this program supports. */
  maxVersion: 1,
  /** Bytes of the big-endian length before each frame. */
  lengthPrefixBytes: 4,
  /** Bytes of the truncated HMAC-SHA256 after each frame's body once peers are authenticated. */
  macBytes: 16,
  /** Largest frame; fits a configuration of one megabyte with the overhead of its CBOR encoding. */
  maxFrameBytes: 2 * 1024 * 1024,
  /** Largest frame before the peer is authenticated. */
  maxHandshakeFrameBytes: 4096,
} as const;
