import { createHmac, hkdfSync, timingSafeEqual } from 'node:crypto';
import { Type, type Static } from '@sinclair/typebox';
import { PEER_PROTOCOL } from './PEER_PROTOCOL.ts';

const SESSION_KEY_BYTES = 32;
const COUNTER_BYTES = 8;

/** Schema of the first frame of each side. */
export const helloSchema = Type.Object({
  kind: Type.Literal('hello'),
  minVersion: Type.Integer({ minimum: 0 }),
  maxVersion: Type.Integer({ minimum: 0 }),
  hostId: Type.String({ minLength: 1, maxLength: 256 }),
  incarnationId: Type.String({ minLength: 1, maxLength: 256 }),
  failureDomainId: Type.String({ minLength: 1, maxLength: 256 }),
  /** Random value that the other side's proof must include. */
  nonce: Type.String({ minLength: 32, maxLength: 64 }),
  /** Whether the sender has a peer key; must be equal on both sides. */
  isKeyed: Type.Boolean(),
});

/** First frame of each side. */
export type Hello = Static<typeof helloSchema>;

/** Schema of the second frame of each side, which proves that the side has the peer key. */
export const proofSchema = Type.Object({
  kind: Type.Literal('proof'),
  mac: Type.String({ maxLength: 128 }),
});

/** Side of a connection: the dialer opened it, the listener accepted it. */
export type HandshakeRole = 'dialer' | 'listener';

/**
 * Negotiates the protocol version.
 *
 * @param dialer - hello of the side that opened the connection
 * @param listener - hello of the side that accepted it
 * @returns the highest version that both support, or null when the ranges don't overlap
 */
export function getCommonVersion(dialer: Hello, listener: Hello): number | null {
  const version = Math.min(dialer.maxVersion, listener.maxVersion, PEER_PROTOCOL.maxVersion);
  return version >= Math.max(dialer.minVersion, listener.minVersion) ? version : null;
}

/**
 * Creates the proof of one side: an HMAC over both hellos and the role, which prevents a replay and
 * a reflection of the other side's proof.
 *
 * @param key - the shared peer key
 * @param role - the side that sends the proof
 * @param dialer - hello of the side that opened the connection
 * @param listener - hello of the side that accepted it
 * @returns hexadecimal digits
 */
export function createProof(
  key: string,
  role: HandshakeRole,
  dialer: Hello,
  listener: Hello,
): string {
  return createHmac('sha256', key).update(JSON.stringify([role, dialer, listener])).digest('hex');
}

/**
 * Compares two proofs in constant time.
 *
 * @param expected - the proof computed by this host
 * @param actual - the proof received from the peer
 * @returns whether they are equal
 */
export function isSameProof(expected: string, actual: string): boolean {
  const expectedBytes = Buffer.from(expected);
  const actualBytes = Buffer.from(actual);
  return expectedBytes.length === actualBytes.length && timingSafeEqual(expectedBytes, actualBytes);
}

/**
 * Creates the function that computes the MACs of a connection's frames, in their order.
 *
 * @param key - the shared peer key
 * @param dialer - hello of the side that opened the connection
 * @param listener - hello of the side that accepted it
 * @returns a function that returns the MAC of the next frame
 */
export function createFrameMac(
  key: string,
  dialer: Hello,
  listener: Hello,
): (body: Uint8Array) => Uint8Array {
  const salt = `${dialer.nonce}${listener.nonce}`;
  const sessionKey = Buffer.from(hkdfSync('sha256', key, salt, 'peer frames', SESSION_KEY_BYTES));
  let frameCount = 0n;
  return (body) => {
    const counter = Buffer.alloc(COUNTER_BYTES);
    counter.writeBigUInt64BE(frameCount);
    frameCount += 1n;
    const mac = createHmac('sha256', sessionKey).update(counter).update(body).digest();
    return mac.subarray(0, PEER_PROTOCOL.macBytes);
  };
}
