/**
 * Tells whether an address can be reached from this machine only.
 *
 * @param host - an IP address or `localhost`
 * @returns true for a loopback address
 */
export function isLoopback(host: string): boolean {
  return host === 'localhost' || host === '::1' || host.startsWith('127.');
}
