import { createHash, timingSafeEqual } from 'node:crypto';

const BEARER_PREFIX = 'Bearer ';
const BASIC_PREFIX = 'Basic ';

function isSameKey(given: string, expected: string): boolean {
  // Digests have equal lengths, so that the comparison time does not reveal the key's length.
  const digests = [given, expected].map((text) => createHash('sha256').update(text).digest());
  const [givenDigest, expectedDigest] = digests;
  return givenDigest !== undefined && expectedDigest !== undefined
    && timingSafeEqual(givenDigest, expectedDigest);
}

/**
 * Checks the key of an API call.
 *
 * @param header - value of the header `Authorization`
 * @param operatorKey - the expected key
 * @returns whether the header is `Bearer` with the key
 */
export function isBearerAuthorized(header: string | undefined, operatorKey: string): boolean {
  return header?.startsWith(BEARER_PREFIX) === true
    && isSameKey(header.slice(BEARER_PREFIX.length), operatorKey);
}

/**
 * Checks the key of a browser's request for a page. Browsers resend such a key automatically, also
 * for a form of another site, so it must not authorize any change.
 *
 * @param header - value of the header `Authorization`
 * @param operatorKey - the expected key
 * @returns whether the header is `Basic` with any user name and the key as password
 */
export function isBasicAuthorized(header: string | undefined, operatorKey: string): boolean {
  if (header?.startsWith(BASIC_PREFIX) !== true) {
    return false;
  }
  const pair = Buffer.from(header.slice(BASIC_PREFIX.length), 'base64').toString('utf8');
  return isSameKey(pair.slice(pair.indexOf(':') + 1), operatorKey);
}
