/**
 * Tells whether an IP number reaches this machine only.
 *
 * @param host - an IP number or `localhost`
 * @returns true for loopback numbers
 */
export function isLoopback(host: string): boolean {
  return host === 'localhost' || host === '::1' || host.startsWith('127.');
}
