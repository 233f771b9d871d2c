import {
  createServer, request as sendRequest, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type { AddressInfo } from 'node:net';
import { STORE_KEYS } from '../../platform/WIRE.ts';
import { SoakProxy } from './SoakProxy.ts';

const LOOPBACK = '127.0.0.1';

/** Item or event of the store, as far as it is rewritten. */
interface StoreItem {
  readonly key?: string;
  value?: string;
}

interface StoreAnswer {
  readonly items?: StoreItem[];
  readonly events?: StoreItem[];
}

/**
 * One host's own paths to the upstreams and to the store. In what it reads from the store, each
 * upstream has the address of the host's own link, so that the links of one host alone can be cut.
 */
export class SoakHostPaths {
  readonly #storeAddress: string;

  /** Links by the address that the upstream has in the store. */
  readonly #links = new Map<string, SoakProxy>();

  readonly #server: Server;

  #isCutOff = false;

  /**
   * @param storeAddress - IP address and port of the store, or of a proxy before it
   */
  constructor(storeAddress: string) {
    this.#storeAddress = storeAddress;
    this.#server = createServer((request, response) => this.#forward(request, response));
  }

  /** IP address and port of the store for the host. */
  get storeAddress(): string {
    return `${LOOPBACK}:${(this.#server.address() as AddressInfo).port}`;
  }

  /**
   * @param upstreamAddresses - addresses that the upstreams have in the store
   * @returns resolves when the paths are open
   */
  async listen(upstreamAddresses: readonly string[]): Promise<void> {
    await Promise.all(upstreamAddresses.map(async (address) => {
      const link = new SoakProxy(Number(address.split(':')[1]));
      await link.listen();
      this.#links.set(address, link);
    }));
    await new Promise<void>((resolve) => {
      this.#server.listen(0, LOOPBACK, resolve);
    });
  }

  /** Whether the path to the upstreams is cut. */
  get isCutOff(): boolean {
    return this.#isCutOff;
  }

  /** Resets all connections to upstreams and refuses new ones. */
  cutUpstreams(): void {
    this.#isCutOff = true;
    this.#links.forEach((link) => link.refuse());
  }

  /** @returns resolves when connections to upstreams are accepted again */
  async restoreUpstreams(): Promise<void> {
    await Promise.all([...this.#links.values()].map((link) => link.accept()));
    this.#isCutOff = false;
  }

  /** Closes all paths. */
  close(): void {
    this.#links.forEach((link) => link.close());
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #forward(request: IncomingMessage, response: ServerResponse): void {
    const [host, port] = this.#storeAddress.split(':');
    const forwarded = sendRequest({
      host, port, method: request.method, path: request.url, headers: request.headers, agent: false,
    }, (answer) => {
      const chunks: Buffer[] = [];
      answer.on('data', (chunk: Buffer) => chunks.push(chunk));
      answer.on('error', () => response.destroy());
      answer.on('end', () => {
        const text = this.#rewrite(Buffer.concat(chunks).toString());
        const headers = { ...answer.headers, 'content-length': Buffer.byteLength(text) };
        response.writeHead(answer.statusCode ?? 0, headers).end(text);
      });
    });
    forwarded.on('error', () => response.destroy());
    response.on('error', () => forwarded.destroy());
    response.once('close', () => forwarded.destroy());
    request.pipe(forwarded);
  }

  #rewrite(text: string): string {
    if (!text.includes(STORE_KEYS.upstreamPrefix)) {
      return text;
    }
    const answer = JSON.parse(text) as StoreAnswer & StoreItem;
    [answer, ...answer.items ?? [], ...answer.events ?? []].forEach((item) => {
      if (item.key?.startsWith(STORE_KEYS.upstreamPrefix) === true && item.value !== undefined) {
        item.value = this.#rewriteEntry(item.value);
      }
    });
    return JSON.stringify(answer);
  }

  #rewriteEntry(value: string): string {
    const entry = JSON.parse(Buffer.from(value, 'base64').toString()) as { address: string };
    entry.address = this.#links.get(entry.address)?.address ?? entry.address;
    return Buffer.from(JSON.stringify(entry)).toString('base64');
  }
}
