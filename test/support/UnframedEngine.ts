import { createServer, type IncomingMessage, type Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { HEADERS } from '../../platform/WIRE.ts';

const EVENT_COUNT = 10;
const EVENT_GAP_MS = 80;
/** Size of an answer that the kernel's buffers on the way to a caller do not hold. */
const WHOLE_ANSWER_BYTES = 8_000_000;

/** Upstream stand-in whose answers have neither a length nor chunks and end with the connection. */
export class UnframedEngine {
  readonly #service: string;

  readonly #server: Server;

  /** @param service - the service that the engine belongs to; `stream` answers by events */
  constructor(service: string) {
    this.#service = service;
    this.#server = createServer((request, response) => {
      if (request.method === 'GET') {
        response.setHeader(HEADERS.upstreamId, this.id);
        response.end();
        return;
      }
      response.detachSocket(request.socket);
      this.#answer(request, request.socket).catch(() => request.socket.destroy());
    });
  }

  /** Id of the engine. */
  get id(): string {
    return `unframed-${this.#service}`;
  }

  /** The engine's entry in the store. */
  get entry(): Readonly<Record<string, unknown>> {
    return {
      service: this.#service,
      address: `127.0.0.1:${(this.#server.address() as AddressInfo).port}`,
      zone: 'a',
      version: 'v1',
      slots: 64,
      state: 'ready',
      cold_left_ms: 0,
      sequence: 1,
      born: 1,
    };
  }

  /** @returns resolves when the engine listens */
  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
  }

  /** Ends the engine and its connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #answer(request: IncomingMessage, socket: Socket): Promise<void> {
    socket.on('error', () => {});
    request.resume();
    const id = String(request.headers[HEADERS.requestId]);
    socket.write([
      'HTTP/1.1 200 OK', `${HEADERS.requestId}: ${id}`, `${HEADERS.signature}: signature`,
      'Connection: close', '', '',
    ].join('\r\n'));
    if (this.#service !== 'stream') {
      socket.end(Buffer.alloc(WHOLE_ANSWER_BYTES, 'x'));
      return;
    }
    for (let event = 1; event <= EVENT_COUNT; event += 1) {
      socket.write(`id: ${event}\ndata: x\n\n`);
      // eslint-disable-next-line no-await-in-loop -- events follow one another
      await sleep(EVENT_GAP_MS);
    }
    socket.end();
  }
}
