import { randomUUID } from 'node:crypto';
import {
  createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type { AddressInfo } from 'node:net';
import { performance } from 'node:perf_hooks';
import { text as readText } from 'node:stream/consumers';
import { HEADERS, UPSTREAM_PATHS } from '../../platform/WIRE.ts';
import { EVENT_COUNT } from './findViolations.ts';
import { REQUEST_KIND, type RequestKind, type RunRecord } from './SoakRecord.ts';

const LOOPBACK = '127.0.0.1';
const WORK_MS = 15;
const EVENT_GAP_MS = 20;
const CALL_MS = 30;
const MISDIRECTED = 421;

interface StageItem {
  readonly id: string;
  readonly stage: number;
  readonly piece: number;
}

function getHeader(request: IncomingMessage, name: string): string | null {
  const value = request.headers[name];
  return typeof value === 'string' ? value : null;
}

/** What is wrong with the inputs of a generation that needs one piece of one stage. */
function findInputFault(requestId: string, inputs: string | null): string | null {
  if (inputs === null) {
    return 'without inputs';
  }
  return inputs.endsWith(`/${requestId}-0-0`) ? null : `inputs ${inputs}`;
}

/** An upstream of the soak: a plain service, a model engine or one that makes stage results. */
export class SoakUpstream {
  readonly kind: RequestKind | 'stage';

  readonly #onRun: (run: RunRecord) => void;

  readonly #server: Server;

  /** Names this start of it. */
  id = '';

  startedAtMs = 0;

  /**
   * @param kind - what it does
   * @param onRun - gets each run
   */
  constructor(kind: RequestKind | 'stage', onRun: (run: RunRecord) => void) {
    this.kind = kind;
    this.#onRun = onRun;
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#restart();
  }

  /** Port on loopback. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** @returns when it listens */
  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, LOOPBACK, resolve);
    });
  }

  /** Breaks all connections off and starts again under another id. */
  crash(): void {
    this.#server.closeAllConnections();
    this.#restart();
  }

  /** Ends it. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #restart(): void {
    this.id = `i-${randomUUID()}`;
    this.startedAtMs = Date.now();
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readText(request);
    const requestId = getHeader(request, HEADERS.requestId) ?? '';
    response.setHeader('X-Request-Id', requestId);
    if ((getHeader(request, HEADERS.expectedUpstream) ?? this.id) !== this.id) {
      response.writeHead(MISDIRECTED, { 'X-Not-Executed': '1' }).end();
    } else if (request.url === UPSTREAM_PATHS.runStage) {
      this.#runStage(body, response);
    } else if (this.kind === 'stage') {
      response.end('{}');
    } else {
      this.#run(requestId, this.kind, request, response);
    }
  }

  #runStage(body: string, response: ServerResponse): void {
    const { items } = JSON.parse(body) as { items: StageItem[] };
    setTimeout(() => {
      response.setHeader('Content-Type', 'application/json');
      response.end(JSON.stringify({
        items: items.map(({ id, stage, piece }) => ({
          handle: `${LOOPBACK}:${this.port}/${id}-${stage}-${piece}`,
        })),
      }));
    }, CALL_MS);
  }

  #run(
    requestId: string,
    kind: RequestKind,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const lastEventText = getHeader(request, HEADERS.lastEventId);
    const lastEventId = lastEventText === null ? null : Number(lastEventText);
    const isStream = kind === REQUEST_KIND.stream;
    this.#onRun({
      requestId,
      kind,
      upstreamId: this.id,
      atMs: performance.now(),
      lastEventId,
      inputFault: isStream ? findInputFault(requestId, getHeader(request, HEADERS.inputs)) : null,
      account: getHeader(request, HEADERS.account),
    });
    response.setHeader('X-Response-Signature', `signed-${this.id}`);
    if (isStream) {
      response.writeHead(200, { 'Content-Type': 'text/event-stream' });
      this.#sendEvents(response, (lastEventId ?? 0) + 1);
    } else {
      setTimeout(() => response.end(`answer to ${requestId}`), WORK_MS);
    }
  }

  #sendEvents(response: ServerResponse, next: number): void {
    if (response.destroyed) {
      return;
    }
    response.write(`id: ${next}\ndata: x\n\n`);
    if (next >= EVENT_COUNT) {
      response.end();
    } else {
      setTimeout(() => this.#sendEvents(response, next + 1), EVENT_GAP_MS);
    }
  }
}
