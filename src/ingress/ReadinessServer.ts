import { createServer, type Server } from 'node:http';
import { parseAddress } from './parseAddress.ts';

const STATUS = { ok: 200, notFound: 404, unavailable: 503 } as const;

/** HTTP server that tells the platform whether this host accepts new connections. */
export class ReadinessServer {
  readonly #server: Server;

  /**
   * @param path - the path of the readiness check
   * @param isReady - whether the host accepts new connections
   */
  constructor(path: string, isReady: () => boolean) {
    this.#server = createServer((request, response) => {
      const readyStatus = isReady() ? STATUS.ok : STATUS.unavailable;
      response.writeHead(request.url === path ? readyStatus : STATUS.notFound, {
        'Content-Length': 0,
      });
      response.end();
    });
  }

  /**
   * @param address - IP address and port
   * @returns when the server listens
   */
  async listen(address: string): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(parseAddress(address), resolve);
    });
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
