import {
  createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { HEADERS } from '../../platform/WIRE.ts';

const EVENT_GAP_MS = 80;
const MISDIRECTED = 421;

/** Start of each engine's process. */
export const ENGINE_STARTED_AT_MS = 1;

/** Number of events of a whole stream. */
export const STREAM_EVENT_COUNT = 10;

/** Engine stand-in whose events name the version of its software. */
export class VersionedEngine {
  readonly id: string;

  readonly softwareVersion: string;

  readonly #server: Server;

  /** Decides whether a new stream breaks off after two events. */
  readonly #isBreaking: (requestId: string) => boolean;

  /**
   * @param id - id of the engine
   * @param softwareVersion - version that its entry and its events name
   * @param isBreaking - tells for a new stream whether it breaks off
   */
  constructor(id: string, softwareVersion: string, isBreaking: (requestId: string) => boolean) {
    this.id = id;
    this.softwareVersion = softwareVersion;
    this.#isBreaking = isBreaking;
    this.#server = createServer((request, response) => {
      this.#answer(request, response).catch(() => response.destroy());
    });
  }

  /** The engine's entry in the store, without its lifetime. */
  get entry(): Readonly<Record<string, unknown>> {
    return {
      service: 'stream',
      address: `127.0.0.1:${(this.#server.address() as AddressInfo).port}`,
      zone: 'a',
      version: this.softwareVersion,
      slots: 64,
      state: 'ready',
      cold_left_ms: 0,
      sequence: 1,
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

  async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const id = String(request.headers[HEADERS.requestId] ?? '');
    response.setHeader(HEADERS.requestId, id);
    response.setHeader(HEADERS.upstreamId, this.id);
    request.resume();
    if (request.method === 'GET') {
      response.end(JSON.stringify({ born: ENGINE_STARTED_AT_MS }));
      return;
    }
    if ((request.headers[HEADERS.expectedUpstream] ?? this.id) !== this.id) {
      response.writeHead(MISDIRECTED, { [HEADERS.notRun]: '1' }).end();
      return;
    }
    response.setHeader(HEADERS.signature, 'signature');
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    const lastId = Number(request.headers[HEADERS.lastEventId] ?? 0);
    const breaksAfter = lastId === 0 && this.#isBreaking(id) ? 2 : Infinity;
    for (let event = lastId + 1; event <= STREAM_EVENT_COUNT; event += 1) {
      if (event > breaksAfter) {
        request.socket.resetAndDestroy();
        return;
      }
      response.write(`id: ${event}\ndata: ${this.softwareVersion}\n\n`);
      // eslint-disable-next-line no-await-in-loop -- events follow one another
      await sleep(EVENT_GAP_MS);
    }
    response.end();
  }
}
