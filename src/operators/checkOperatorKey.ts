import { createHash, timingSafeEqual } from 'node:crypto';

const BEARER_PREFIX = 'Bearer ';
const BASIC_PREFIX = 'Basic ';

function isSameKey(given: string, expected: string): boolean {
  // Digests have one length, so that the comparison tells nothing about the key's length either.
  const digests = [given, expected].map((text) => createHash('sha256').update(text).digest());
  const [givenDigest, expectedDigest] = digests;
  return givenDigest !== undefined && expectedDigest !== undefined
    && timingSafeEqual(givenDigest, expectedDigest);
}

/**
 * Checks the key of a program's call.
 *
 * @param header - the header `Authorization`
 * @param operatorKey - the expected key
 * @returns whether it is `Bearer` with the key
 */
export function isBearerAuthorized(header: string | undefined, operatorKey: string): boolean {
  return header?.startsWith(BEARER_PREFIX) === true
    && isSameKey(header.slice(BEARER_PREFIX.length), operatorKey);
}

/**
 * Checks the key of a page that a browser reads. Browsers repeat such a key by themselves, also for
 * another site's form, so it opens nothing that changes anything.
 *
 * @param header - the header `Authorization`
 * @param operatorKey - the expected key
 * @returns whether it is `Basic` with any name and the key as password
 */
export function isBasicAuthorized(header: string | undefined, operatorKey: string): boolean {
  if (header?.startsWith(BASIC_PREFIX) !== true) {
    return false;
  }
  const pair = Buffer.from(header.slice(BASIC_PREFIX.length), 'base64').toString('utf8');
  return isSameKey(pair.slice(pair.indexOf(':') + 1), operatorKey);
}
