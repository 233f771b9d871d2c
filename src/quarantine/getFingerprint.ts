import { createHash } from 'node:crypto';

/** Length of the truncated digest: enough that requests do not collide by chance. */
const DIGEST_BYTES = 16;

/**
 * Identifies a request by its content, so that a retry under another id is recognized.
 *
 * @param components - account, method, host and path; none contains a null character
 * @param body - body of the request
 * @returns the truncated SHA-256 digest of all of them, in hexadecimal
 */
export function getFingerprint(components: readonly string[], body: string | Buffer): string {
  const hash = createHash('sha256');
  components.forEach((component) => hash.update(component).update('\0'));
  return hash.update(body).digest().subarray(0, DIGEST_BYTES).toString('hex');
}
