import { createHash } from 'node:crypto';

/**
 * Names a request by what it asks, so that the same request is known again when it is sent again.
 *
 * @param accountId - who asks
 * @param pipelineId - what is asked for
 * @param input - the body
 * @returns SHA-256 over the three, hexadecimal
 */
export function getFingerprint(accountId: string, pipelineId: string, input: string): string {
  return createHash('sha256')
    .update(accountId)
    .update('\0')
    .update(pipelineId)
    .update('\0')
    .update(input)
    .digest('hex');
}
