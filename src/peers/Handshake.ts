import { createHmac, hkdfSync, timingSafeEqual } from 'node:crypto';
import { Type, type Static } from '@sinclair/typebox';
import { PEER_PROTOCOL } from './PEER_PROTOCOL.ts';

const SESSION_KEY_BYTES = 32;
const COUNTER_BYTES = 8;

/** The first frame of each side. */
export const helloSchema = Type.Object({
  kind: Type.Literal('hello'),
  minVersion: Type.Integer({ minimum: 0 }),
  maxVersion: Type.Integer({ minimum: 0 }),
  hostId: Type.String({ minLength: 1, maxLength: 256 }),
  incarnationId: Type.String({ minLength: 1, maxLength: 256 }),
  failureDomainId: Type.String({ minLength: 1, maxLength: 256 }),
  /** Random value that the other side's proof must cover. */
  nonce: Type.String({ minLength: 32, maxLength: 64 }),
  /** Whether the sender holds a peer key; both do or neither does. */
  isKeyed: Type.Boolean(),
});

/** The first frame of each side. */
export type Hello = Static<typeof helloSchema>;

/** The second frame of each side: shows that it holds the shared key. */
export const proofSchema = Type.Object({
  kind: Type.Literal('proof'),
  mac: Type.String({ maxLength: 128 }),
});

/** The side that opened the connection, or the one that accepted it. */
export type HandshakeRole = 'dialer' | 'listener';

/**
 * @param dialer - hello of the side that opened the connection
 * @param listener - hello of the side that accepted it
 * @returns the protocol version that both speak, or null when the ranges do not meet
 */
export function getCommonVersion(dialer: Hello, listener: Hello): number | null {
  const version = Math.min(dialer.maxVersion, listener.maxVersion, PEER_PROTOCOL.maxVersion);
  return version >= Math.max(dialer.minVersion, listener.minVersion) ? version : null;
}

/**
 * Makes the proof of one side: an HMAC over both hellos and the role, so that neither a replay nor
 * a reflection of the other side's proof passes.
 *
 * @param key - the shared peer key
 * @param role - the side that proves
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
 * @param expected - the proof that was computed here
 * @param actual - the proof that came from the peer
 * @returns whether they are equal, in constant time
 */
export function isSameProof(expected: string, actual: string): boolean {
  const expectedBytes = Buffer.from(expected);
  const actualBytes = Buffer.from(actual);
  return expectedBytes.length === actualBytes.length && timingSafeEqual(expectedBytes, actualBytes);
}

/**
 * Makes the function that authenticates the frames of a connection in their order.
 *
 * @param key - the shared peer key
 * @param dialer - hello of the side that opened the connection
 * @param listener - hello of the side that accepted it
 * @returns a function that gives the code of the next frame
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
