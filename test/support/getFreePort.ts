import { createServer, type AddressInfo } from 'node:net';

/** @returns a loopback port that was free when it was checked; it can be taken meanwhile */
export async function getFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}
