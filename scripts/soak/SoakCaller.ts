import { randomUUID } from 'node:crypto';
import { Agent, request as sendRequest } from 'node:http';
import { performance } from 'node:perf_hooks';
import { REQUEST_KIND, type CallerRecord, type RequestKind } from './SoakRecord.ts';
import { SOAK_HOST_NAME, SOAK_KEY } from './createSoakManifest.ts';

/** Host that a request is sent to. */
export interface SoakTarget {
  readonly index: number;
  readonly address: { readonly host: string; readonly port: number };
}

/** Request of a soak caller. */
export interface SoakRequest {
  readonly kind: RequestKind;
  readonly body: string;
  /** Path; that of the kind by default. */
  readonly path?: string;
  /** API key; the one of all versions of the configuration by default. */
  readonly key?: string;
}

const DEADLINE_MS: Readonly<Record<RequestKind, number>> = {
  [REQUEST_KIND.repeatable]: 2_000, [REQUEST_KIND.once]: 2_000, [REQUEST_KIND.stream]: 5_000,
};

/** Retries of a request that was refused or failed. */
export interface SoakRetry {
  /** Maximum number of further retries; each is sent immediately. */
  readonly retriesLeft: number;
  /** @returns the host for the next attempt */
  readonly chooseHost: () => SoakTarget;
}

const STATUS_OK = 200;
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/** A request that may run only once is retried only if its status shows that it has not run. */
function canRetry({ kind, status, isComplete }: CallerRecord): boolean {
  return kind === REQUEST_KIND.once
    ? status !== null && NOT_RUN_STATUSES.has(status)
    : status !== STATUS_OK || !isComplete;
}

/** Sends requests over keep-alive connections and records the answers. */
export class SoakCaller {
  readonly #agent = new Agent({ keepAlive: true, maxSockets: Infinity });

  readonly #records: CallerRecord[];

  #isClosed = false;

  /** @param records - list that receives an entry for each request */
  constructor(records: CallerRecord[]) {
    this.#records = records;
  }

  /**
   * Sends a request.
   *
   * @param target - the host
   * @param demand - kind and body of the request
   * @param retry - how the request is retried; null for no retries
   * @param isRetry - whether this is a retry
   * @returns the entry of the request, which is completed as it goes on
   */
  send(
    target: SoakTarget,
    demand: SoakRequest,
    retry: SoakRetry | null = null,
    isRetry = false,
  ): CallerRecord {
    const record: CallerRecord = {
      requestId: randomUUID(),
      kind: demand.kind,
      body: demand.body,
      hostIndex: target.index,
      isRetry,
      sentAtMs: performance.now(),
      deadlineMs: DEADLINE_MS[demand.kind],
      endedAtMs: null,
      status: null,
      isSigned: false,
      isComplete: false,
      answerText: '',
    };
    this.#records.push(record);
    const end = (): void => {
      if (record.endedAtMs === null) {
        record.endedAtMs = performance.now();
        this.#retry(record, retry);
      }
    };
    const request = sendRequest({
      ...target.address,
      agent: this.#agent,
      method: 'POST',
      path: demand.path ?? `/${demand.kind}/x`,
      headers: {
        Host: SOAK_HOST_NAME,
        Authorization: `Bearer ${demand.key ?? SOAK_KEY}`,
        'X-Request-Id': record.requestId,
        'X-Deadline-Ms': String(record.deadlineMs),
        'X-Pieces': '1',
        'X-Piece-Key': 'key',
        'X-Token-Usage': '100,50',
        'X-Prompt-Prefix': `${record.requestId.slice(0, 8)}:100`,
        'X-Model': 'm',
      },
    }, (response) => {
      record.status = response.statusCode ?? null;
      record.isSigned = response.headers['x-response-signature'] !== undefined;
      response.setEncoding('utf8');
      response.on('data', (text: string) => {
        record.answerText += text;
      });
      response.on('end', () => {
        record.isComplete = response.complete;
        end();
      });
      response.on('close', end);
      response.on('error', end);
    });
    request.on('error', end);
    request.on('close', end);
    request.end(demand.body);
    return record;
  }

  #retry(record: CallerRecord, retry: SoakRetry | null): void {
    if (retry === null || retry.retriesLeft === 0 || this.#isClosed || !canRetry(record)) {
      return;
    }
    const rest = { ...retry, retriesLeft: retry.retriesLeft - 1 };
    this.send(retry.chooseHost(), record, rest, true);
  }

  /** Closes all connections and stops retries. */
  close(): void {
    this.#isClosed = true;
    this.#agent.destroy();
  }
}
