import { createServer, type Server } from 'node:http';
import { parseAddress } from './parseAddress.ts';

const STATUS = { ok: 200, notFound: 404, unavailable: 503 } as const;

/** Tells the platform whether this host takes new connections. */
export class ReadinessServer {
  readonly #server: Server;

  /**
   * @param path - the path that is asked for
   * @param isReady - whether the host takes new connections
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
   * @returns when it listens
   */
  async listen(address: string): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(parseAddress(address), resolve);
    });
  }

  /** Ends it. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
