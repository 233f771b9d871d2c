import {
  createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type { Socket } from 'node:net';
import type { BufferMemory } from '../memory/BufferMemory.ts';
import type { Clock } from '../time/Clock.ts';
import type { CallerLimits } from '../directory/ServingConfiguration.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import { CallerConnections } from './CallerConnections.ts';
import { CallerExchange, type CallerExchangeContext } from './CallerExchange.ts';
import type { RequestProfile } from './CallerRequest.ts';
import { createErrorAnswer } from './createErrorAnswer.ts';
import { parseAddress } from './parseAddress.ts';
import { RequestBody } from './RequestBody.ts';

/** Options of an {@link IngressServer}. */
export interface IngressServerOptions {
  /** IP address and port to listen on. */
  readonly address: string;
  readonly clock: Clock;
  /** Memory that bodies and answers draw on. */
  readonly memory: BufferMemory;
  /** Largest number of open connections. */
  readonly maxConnections: number;
  /** @returns the limits in force */
  readonly getLimits: () => CallerLimits;
  /** @returns the decoded headers; null when they carry no request id */
  readonly decodeRequest: (rawHeaders: readonly string[]) => RequestProfile | null;
  /** @param exchange - a request with its whole body, which has to be answered */
  readonly onRequest: (exchange: CallerExchange) => void;
}

/** Largest size of headers that Node reads; the limit in force is checked afterwards. */
const MAX_HEADER_BYTES = 65_536;
/** Idle time after which TCP probes a connection. */
const KEEP_ALIVE_PROBE_MS = 1_000;
/** Interval at which Node checks connections for timeouts. */
const CHECK_INTERVAL_MS = 500;
/** Largest number of connections that wait to be accepted. */
const BACKLOG = 1_024;
/** Size of the separator and line end of a header line on the wire. */
const HEADER_LINE_OVERHEAD_BYTES = 4;

/** Time after which a request that found no room for its body may come again. */
const NO_ROOM_RETRY_MS = 500;

const STATUS = {
  badRequest: 400, bodyTooLarge: 413, headersTooLarge: 431, unavailable: 503,
} as const;

function getHeaderBytes(request: IncomingMessage): number {
  return request.rawHeaders.reduce((sum, text) => sum + text.length, 0)
    + (request.rawHeaders.length / 2) * HEADER_LINE_OVERHEAD_BYTES;
}

function refuse(
  response: ServerResponse,
  status: number,
  reason: string,
  retryAfterMs: number | null = null,
): void {
  if (response.headersSent) {
    return;
  }
  const answer = createErrorAnswer(status, reason, retryAfterMs);
  // The rest of the request is not read, so the connection can't be reused.
  response.writeHead(status, [
    ...answer.headers, 'Content-Length', String(answer.body.length), 'Connection', 'close',
  ]);
  response.end(answer.body);
}

function answerClientError(socket: Socket): void {
  if (socket.writable) {
    socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n');
  } else {
    socket.destroy();
  }
}

/** HTTP server that reads callers' requests with their whole bodies and passes them on. */
export class IngressServer {
  readonly #options: IngressServerOptions;

  readonly #server: Server;

  readonly #connections: CallerConnections;

  readonly #exchangeContext: CallerExchangeContext;

  #openRequestCount = 0;

  #isDraining = false;

  /**
   * @param options - the address, the limits and the receiver of requests
   */
  constructor(options: IngressServerOptions) {
    this.#options = options;
    this.#connections = new CallerConnections(options.maxConnections);
    this.#exchangeContext = {
      clock: options.clock, memory: options.memory, shouldClose: () => this.#isDraining,
    };
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      // A slow body is bounded by the caller's own deadline.
      requestTimeout: 0,
      noDelay: true,
    });
    this.#server.on('request', (request, response) => this.#readRequest(request, response));
    this.#server.on('clientError', (_error, socket) => answerClientError(socket as Socket));
    this.#server.on('connection', (socket) => {
      socket.setKeepAlive(true, KEEP_ALIVE_PROBE_MS);
      this.#connections.add(socket);
    });
    this.updateLimits();
  }

  /** Number of requests whose answer is not complete yet. */
  get openRequestCount(): number {
    return this.#openRequestCount;
  }

  /** Applies the time limits in force. */
  updateLimits(): void {
    const limits = this.#options.getLimits();
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** @returns when the server listens */
  async listen(): Promise<void> {
    const { host, port } = parseAddress(this.#options.address);
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ host, port, backlog: BACKLOG }, resolve);
    });
  }

  /** Closes each connection after its next answer, but still accepts requests. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /** Closes the connections without a request in progress. */
  closeIdle(): void {
    this.#connections.closeIdle();
  }

  /** Stops accepting connections and closes the open ones at once. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #readRequest(request: IncomingMessage, response: ServerResponse): void {
    const arrivedAtMs = this.#options.clock.getMonotonicMs();
    this.#connections.schedule(request.socket, response, () => (
      this.#startRequest(request, response, arrivedAtMs)));
  }

  #startRequest(request: IncomingMessage, response: ServerResponse, arrivedAtMs: number): void {
    this.#openRequestCount += 1;
    response.once('close', () => {
      this.#openRequestCount -= 1;
    });
    const limits = this.#options.getLimits();
    if (getHeaderBytes(request) > limits.maxHeaderBytes) {
      refuse(response, STATUS.headersTooLarge, 'headers-too-large');
      return;
    }
    const profile = this.#options.decodeRequest(request.rawHeaders);
    if (profile === null) {
      refuse(response, STATUS.badRequest, 'request-id-missing');
      return;
    }
    const { 'content-length': contentLength = limits.maxBodyBytes } = request.headers;
    const maxBytes = Number(contentLength);
    if (maxBytes > limits.maxBodyBytes) {
      refuse(response, STATUS.bodyTooLarge, 'body-too-large');
      return;
    }
    this.#readBody(request, response, maxBytes, (body) => {
      this.#options.onRequest(new CallerExchange({
        profile,
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        host: (request.headers.host ?? '').toLowerCase().replace(/:\d+$/, ''),
        rawHeaders: request.rawHeaders,
        body,
        arrivedAtMs,
      }, response, this.#exchangeContext));
    });
  }

  #readBody(
    request: IncomingMessage,
    response: ServerResponse,
    maxBytes: number,
    onWhole: (body: Buffer) => void,
  ): void {
    const { clock, memory } = this.#options;
    const refuseForRoom = (): void => {
      refuse(response, STATUS.unavailable, 'no-memory', NO_ROOM_RETRY_MS);
    };
    const body = new RequestBody({
      memory, clock, maxBytes, onDrop: refuseForRoom,
    });
    // The relay listens for the same event and stops its attempts, which use the body, before.
    response.once('close', () => setImmediate(() => body.release()));
    request.on('data', (chunk: Buffer) => {
      if (response.headersSent || response.destroyed) {
        return;
      }
      const result = body.add(chunk);
      switch (result) {
        case 'added':
          return;
        case 'tooLarge':
          refuse(response, STATUS.bodyTooLarge, 'body-too-large');
          return;
        case 'noRoom':
          refuseForRoom();
          return;
        default:
          throw exhaustiveSwitchError(result);
      }
    });
    request.on('error', () => response.destroy());
    request.on('end', () => {
      if (!response.headersSent && !response.destroyed) {
        onWhole(body.complete());
      }
    });
  }
}
