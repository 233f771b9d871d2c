import { createHash } from 'node:crypto';

/** Bytes of the digest that are kept: enough that no two requests share them by chance. */
const DIGEST_BYTES = 16;

/**
 * Names a request by what it asks, so that it is known again when it comes again under another id.
 *
 * @param components - who asks and for what; none holds a null character
 * @param body - the body
 * @returns the first bytes of SHA-256 over all of them, hexadecimal
 */
export function getFingerprint(components: readonly string[], body: string | Buffer): string {
  const hash = createHash('sha256');
  components.forEach((component) => hash.update(component).update('\0'));
  return hash.update(body).digest().subarray(0, DIGEST_BYTES).toString('hex');
}
