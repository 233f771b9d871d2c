import { frameCodec } from './frameCodec.ts';
import { FrameTooLargeError } from './FrameTooLargeError.ts';
import { PEER_PROTOCOL } from './PEER_PROTOCOL.ts';

/**
 * Encodes a message as a length-prefixed CBOR frame.
 *
 * @param message - plain data
 * @param limitBytes - size of the largest allowed body
 * @returns the bytes to send
 * @throws FrameTooLargeError when the body exceeds the limit
 */
export function encodeFrame(
  message: unknown,
  limitBytes: number = PEER_PROTOCOL.maxFrameBytes - PEER_PROTOCOL.macBytes,
): Buffer {
  const body = frameCodec.encode(message);
  if (body.length > limitBytes) {
    throw new FrameTooLargeError(body.length, limitBytes);
  }
  const prefix = Buffer.alloc(PEER_PROTOCOL.lengthPrefixBytes);
  prefix.writeUInt32BE(body.length);
  return Buffer.concat([prefix, body]);
}
