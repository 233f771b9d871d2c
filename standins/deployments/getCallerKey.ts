/**
 * Returns the key with which callers of a stand-in deployment authenticate. Real deployments
 * create their own keys; the configuration has only the digest.
 *
 * @param accountId - the client account
 * @returns the caller's key
 */
export function getCallerKey(accountId: string): string {
  return `caller-key-of-${accountId}`;
}
