/**
 * The key with which the callers of a stand-in deployment authenticate. Real deployments make
 * their own; only its digest is in the configuration.
 *
 * @param accountId - the client account
 * @returns the caller's key
 */
export function getCallerKey(accountId: string): string {
  return `caller-key-of-${accountId}`;
}
