/** Fixed values of the protocol between entry hosts. */
export const PEER_PROTOCOL = {
  /** Oldest protocol version that this program speaks. */
  minVersion: 1,
  /** Newest protocol version that this program speaks. */
  maxVersion: 1,
  /** Bytes of the big-endian length before each frame. */
  lengthPrefixBytes: 4,
  /** Bytes of the truncated HMAC-SHA256 behind each frame once the peers have proved their key. */
  macBytes: 16,
  /** Largest frame; a configuration of one megabyte fits, with room for its CBOR form. */
  maxFrameBytes: 2 * 1024 * 1024,
  /** Largest frame before the peer has proved its key. */
  maxHandshakeFrameBytes: 4096,
} as const;
