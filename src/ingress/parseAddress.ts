/** Address at which a socket listens or connects. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * Parses a socket address.
 *
 * @param address - IP address and port, such as `10.1.0.41:8625`
 * @returns its host and port
 * @throws RangeError when it has no port
 */
export function parseAddress(address: string): SocketAddress {
  const colon = address.lastIndexOf(':');
  const port = Number(address.slice(colon + 1));
  if (colon < 0 || !Number.isInteger(port)) {
    throw new RangeError(`"${address}" is not an IP address with a port, such as 10.1.0.41:8625`);
  }
  return { host: address.slice(0, colon), port };
}
