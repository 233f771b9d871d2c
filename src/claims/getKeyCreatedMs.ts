const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const HEX_RADIX = 16;

/**
 * Parses the creation time out of an idempotency key that contains one (UUID version 7, RFC 9562).
 *
 * @param idempotencyKey - the caller's key
 * @returns Unix time in milliseconds, or null for a key without a creation time
 */
export function getKeyCreatedMs(idempotencyKey: string): number | null {
  const match = UUID_V7.exec(idempotencyKey);
  return match === null ? null : Number.parseInt(`${match[1]}${match[2]}`, HEX_RADIX);
}
