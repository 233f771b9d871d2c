import { createServer, type AddressInfo } from 'node:net';

const BYTE = 0xff;
/** First of the 32 networks 127.64 to 127.95. */
const FIRST_NETWORK = 64;
const NETWORK_MASK = 0x1f;

/**
 * Loopback address of this process alone. Test files run beside one another, so that on an address
 * of all of them another process could take a port between its choice and its use.
 */
export const TEST_IP = [
  127,
  FIRST_NETWORK + ((process.pid >> 16) & NETWORK_MASK), // eslint-disable-line no-bitwise
  (process.pid >> 8) & BYTE, // eslint-disable-line no-bitwise
  process.pid & BYTE, // eslint-disable-line no-bitwise
].join('.');

const issuedPorts = new Set<number>();

/** @returns a free port of {@link TEST_IP} that no other call returns */
export async function getFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, TEST_IP, resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  if (issuedPorts.has(port)) {
    return getFreePort();
  }
  issuedPorts.add(port);
  return port;
}
