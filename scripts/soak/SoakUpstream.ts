import { randomUUID } from 'node:crypto';
import {
  createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type { AddressInfo } from 'node:net';
import { performance } from 'node:perf_hooks';
import { text as readText } from 'node:stream/consumers';
import { HEADERS, UPSTREAM_PATHS } from '../../platform/WIRE.ts';
import { HEALTH_PATH } from './createSoakManifest.ts';
import type { Clock } from '../../src/time/Clock.ts';
import { EVENT_COUNT } from './findViolations.ts';
import {
  ARRIVAL_KIND, LIMITED_KIND, REQUEST_KIND, type ArrivalKind, type ArrivalRecord,
  type CrashRecord, type LimitArrival, type LimitedKind, type LimitSpan, type LimitNoticeRecord,
  type NoticeRecord, type RequestKind, type RunRecord,
} from './SoakRecord.ts';

const LOOPBACK = '127.0.0.1';
const WORK_MS = 15;
const EVENT_GAP_MS = 20;
const STAGE_CALL_MS = 30;
const MISDIRECTED = 421;
const UNAVAILABLE = 503;
const FAILED = 500;
const STATUS_OK = 200;
/** Duration of the back-off that an upstream asks for. */
const BACK_OFF_MS = 1_500;
const MS_PER_SECOND = 1_000;
/** Prefix of the body of a request that crashes the upstream which runs it. */
export const CRASHING_BODY = 'crash';
/** Time from the start of such a run to the crash. */
const CRASH_DELAY_MS = 20;
/** Maximum concurrent requests; further ones are refused. */
const CAPACITY = 12;

/** Fault of an upstream. */
export type UpstreamFault = 'none' | 'refuse' | 'fail' | 'hang' | 'break' | 'leave' | 'backOff';

interface StageItem {
  readonly id: string;
  readonly stage: number;
  readonly piece: number;
}

function getHeader(request: IncomingMessage, name: string): string | null {
  const value = request.headers[name];
  return typeof value === 'string' ? value : null;
}

/** Whether a call asks for the state of the upstream, and runs nothing. */
function isStateCall({ url }: IncomingMessage): boolean {
  return url === HEALTH_PATH || url === UPSTREAM_PATHS.report;
}

/** Describes wrong inputs of a generation that needs one piece of one stage; null if correct. */
function describeInputFault(requestId: string, inputs: string | null): string | null {
  if (inputs === null) {
    return 'without inputs';
  }
  return inputs.endsWith(`/${requestId}-0-0`) ? null : `inputs ${inputs}`;
}

/** Callbacks for what an upstream observes. */
export interface SoakUpstreamEvents {
  readonly onRun: (run: RunRecord) => void;
  readonly onArrival: (arrival: ArrivalRecord) => void;
  readonly onNotice: (notice: NoticeRecord) => void;
  /** Called when a request has crashed the upstream, which stays down until `restart`. */
  readonly onCrash: (crash: CrashRecord) => void;
  readonly onLimitArrival: (arrival: LimitArrival) => void;
  readonly onLimitNotice: (word: LimitNoticeRecord) => void;
  readonly onLimitSpan: (span: LimitSpan) => void;
}

/** Upstream of the soak: a plain service, a model engine or a stage pool member. */
export class SoakUpstream {
  readonly kind: RequestKind | 'stage';

  readonly #events: SoakUpstreamEvents;

  readonly #clock: Clock;

  readonly #server: Server;

  /** Id of the current process; each restart assigns a new one. */
  id = '';

  startedAtMs = 0;

  /** Fault that is active now. */
  fault: UpstreamFault = 'none';

  /** Whether answers have a length or chunks; others end with their connection. */
  marksEnds = true;

  #openCount = 0;

  /** Span of the advertised limit; null if there is none. */
  #limitSpan: LimitSpan | null = null;

  /** Whether it has crashed and not restarted yet. */
  #isDown = false;

  /**
   * @param kind - kind of work that it runs
   * @param events - callbacks for what it observes
   * @param clock - provides the time of each start
   */
  constructor(kind: RequestKind | 'stage', events: SoakUpstreamEvents, clock: Clock) {
    this.kind = kind;
    this.#events = events;
    this.#clock = clock;
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.on('connection', (socket) => {
      if (this.#isDown) {
        socket.destroy();
      }
    });
    this.restart();
  }

  /** Loopback port. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** @returns resolves when the upstream listens */
  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, LOOPBACK, resolve);
    });
  }

  /** Closes all connections and restarts under another id. */
  crash(): void {
    this.#server.closeAllConnections();
    this.restart();
  }

  /** @param requestsPerSecond - limit to advertise from now on; null for none */
  setAdvertisedLimit(requestsPerSecond: number | null): void {
    if (this.#limitSpan !== null) {
      this.#limitSpan.untilMs = performance.now();
    }
    this.#limitSpan = requestsPerSecond === null ? null : {
      upstreamId: this.id,
      service: this.kind,
      requestsPerSecond,
      fromMs: performance.now(),
      untilMs: Infinity,
    };
    if (this.#limitSpan !== null) {
      this.#events.onLimitSpan(this.#limitSpan);
    }
  }

  /** Starts under another id, without an advertised limit. */
  restart(): void {
    this.setAdvertisedLimit(null);
    this.#isDown = false;
    this.id = `i-${randomUUID()}`;
    this.startedAtMs = Math.floor(this.#clock.getWallMs());
  }

  /** Closes all connections and restarts under its id; it accepts connections again at once. */
  restartUnderId(): void {
    this.#server.closeAllConnections();
    this.startedAtMs = Math.max(this.startedAtMs + 1, Math.floor(this.#clock.getWallMs()));
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readText(request);
    const requestId = getHeader(request, HEADERS.requestId) ?? '';
    response.setHeader('X-Request-Id', requestId);
    this.#recordArrivals(requestId, body, request);
    this.#handleLimit(requestId, request, response);
    const isMisdirected = (getHeader(request, HEADERS.expectedUpstream) ?? this.id) !== this.id;
    if (this.fault === 'leave') {
      response.setHeader(HEADERS.leaving, '1');
      // An answer to a request for another process doesn't tell which process it is from.
      if (!isMisdirected) {
        this.#recordNotice('leaving', requestId, Infinity);
      }
    }
    if (request.url === HEALTH_PATH) {
      response.setHeader(HEADERS.upstreamId, this.id);
      response.end();
    } else if (isMisdirected) {
      response.writeHead(MISDIRECTED, { 'X-Not-Executed': '1' }).end();
    } else if (request.url === UPSTREAM_PATHS.report) {
      response.end(JSON.stringify({ born: this.startedAtMs }));
    } else if (this.fault === 'backOff') {
      this.#recordNotice('backOff', requestId, performance.now() + BACK_OFF_MS);
      response.writeHead(UNAVAILABLE, {
        'X-Not-Executed': '1', 'Retry-After': String(BACK_OFF_MS / MS_PER_SECOND),
      }).end();
    } else if (this.fault === 'refuse' || this.#openCount >= CAPACITY) {
      response.writeHead(UNAVAILABLE, { 'X-Not-Executed': '1' }).end();
    } else if (this.fault === 'break') {
      request.socket.destroy();
    } else if (request.url === UPSTREAM_PATHS.runStage) {
      this.#runStage(body, response);
    } else if (this.kind === 'stage') {
      response.end('{}');
    } else {
      const isCrashing = body.startsWith(CRASHING_BODY);
      this.#run(requestId, isCrashing, request, response);
      if (isCrashing) {
        setTimeout(() => this.#crashOnRequest(requestId), CRASH_DELAY_MS);
      }
    }
  }

  #handleLimit(requestId: string, request: IncomingMessage, response: ServerResponse): void {
    const kind = this.#getLimitedKind(request);
    const { id } = this;
    this.#events.onLimitArrival({
      upstreamId: id, kind, requestId, atMs: performance.now(),
    });
    if (this.#limitSpan === null) {
      return;
    }
    response.setHeader(HEADERS.requestLimit, String(this.#limitSpan.requestsPerSecond));
    response.once('finish', () => this.#events.onLimitNotice({
      upstreamId: id, kind, requestId, atMs: performance.now(),
    }));
  }

  #getLimitedKind(request: IncomingMessage): LimitedKind {
    if (request.url === UPSTREAM_PATHS.runStage) {
      return LIMITED_KIND.stageCall;
    }
    return this.kind === 'stage' || isStateCall(request)
      ? LIMITED_KIND.other
      : LIMITED_KIND.request;
  }

  #crashOnRequest(requestId: string): void {
    if (this.#isDown) {
      return;
    }
    this.#isDown = true;
    this.#server.closeAllConnections();
    this.#events.onCrash({ requestId, upstreamId: this.id, atMs: performance.now() });
  }

  #recordArrivals(requestId: string, body: string, request: IncomingMessage): void {
    const note = (kind: ArrivalKind, id: string, unit: string): void => this.#events.onArrival({
      service: this.kind, kind, requestId: id, unit, upstreamId: this.id, atMs: performance.now(),
    });
    if (request.url === UPSTREAM_PATHS.runStage) {
      const { items } = JSON.parse(body) as { items: StageItem[] };
      items.forEach(({ id, stage, piece }) => (
        note(ARRIVAL_KIND.piece, id, `${id}-${stage}-${piece}`)));
    } else if (this.kind !== 'stage' && !isStateCall(request)) {
      const isStream = this.kind === REQUEST_KIND.stream;
      note(isStream ? ARRIVAL_KIND.generation : ARRIVAL_KIND.whole, requestId, requestId);
    }
  }

  #recordNotice(kind: NoticeRecord['kind'], requestId: string, untilMs: number): void {
    this.#events.onNotice({
      kind, upstreamId: this.id, requestId, atMs: performance.now(), untilMs,
    });
  }

  #runStage(body: string, response: ServerResponse): void {
    if (this.fault === 'hang') {
      return;
    }
    const { items } = JSON.parse(body) as { items: StageItem[] };
    setTimeout(() => {
      response.setHeader('Content-Type', 'application/json');
      response.end(JSON.stringify({
        items: items.map(({ id, stage, piece }) => ({
          ...(this.fault === 'fail'
            ? { reason: 'room' }
            : { handle: `${LOOPBACK}:${this.port}/${id}-${stage}-${piece}` }),
        })),
      }));
    }, STAGE_CALL_MS);
  }

  #run(
    requestId: string,
    isCrashing: boolean,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const lastEventText = getHeader(request, HEADERS.lastEventId);
    const lastEventId = lastEventText === null ? null : Number(lastEventText);
    const { kind } = this;
    if (kind === 'stage') {
      return;
    }
    const isStream = kind === REQUEST_KIND.stream;
    this.#openCount += 1;
    response.once('close', () => {
      this.#openCount -= 1;
    });
    this.#events.onRun({
      requestId,
      kind,
      upstreamId: this.id,
      call: `${request.method ?? ''} ${request.url ?? ''}`,
      atMs: performance.now(),
      lastEventId,
      inputFault: isStream
        ? describeInputFault(requestId, getHeader(request, HEADERS.inputs))
        : null,
      account: getHeader(request, HEADERS.account),
    });
    response.setHeader('X-Response-Signature', `signed-${this.id}`);
    if (!this.marksEnds) {
      response.useChunkedEncodingByDefault = false;
      response.setHeader('Connection', 'close');
    }
    if (this.fault === 'hang' || isCrashing) {
      return;
    }
    if (this.fault === 'fail') {
      response.writeHead(FAILED).end('failed');
    } else if (isStream) {
      response.writeHead(STATUS_OK, { 'Content-Type': 'text/event-stream' });
      this.#sendEvents(response, (lastEventId ?? 0) + 1);
    } else {
      setTimeout(() => {
        // Without its head sent before, Node gives an answer its length.
        response.writeHead(STATUS_OK).end(`answer to ${requestId}`);
      }, WORK_MS);
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
