import { setTimeout as sleep } from 'node:timers/promises';
import { Pool, errors } from 'undici';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { Clock } from '../time/Clock.ts';
import { SystemClock } from '../time/SystemClock.ts';
import { readBoundedText } from '../upstreams/readBoundedText.ts';
import type { CallBudget } from './CallBudget.ts';
import type {
  CompareAndSwapCall, KeyValueAnswer, KeyValueCall, KeyValueClass, WatchCall,
} from './KeyValueCall.ts';
import type { KeyValueClient } from './KeyValueClient.ts';

const JSON_HEADERS = { 'content-type': 'application/json' };

/** Options of the client. */
export interface HttpKeyValueClientOptions {
  /** Base address of the key-value service. */
  readonly url: string;
  /** Time that a call may take; a watch gets its waiting time on top. */
  readonly timeoutMs: number;
  /** Time that a connect may take. */
  readonly connectTimeoutMs: number;
  /** Connections at most; a waiting watch occupies one. */
  readonly maxConnections: number;
  /** The host's share of the platform's calls; null for no limit. */
  readonly budget: CallBudget | null;
  /** The time by which the budget counts. */
  readonly clock: Clock;
}

/** Bounds that suit a service which answers in milliseconds. */
export const DEFAULT_HTTP_KEY_VALUE_CLIENT_OPTIONS = {
  timeoutMs: 2000,
  connectTimeoutMs: 1000,
  maxConnections: 16,
  budget: null,
  clock: new SystemClock(),
} as const;

/** The answer of the service, as bytes gave it. */
interface HttpAnswer {
  readonly statusCode: number;
  readonly body: unknown;
}

interface VersionBody {
  readonly version: number;
  readonly value: string;
}

function hasVersion(body: unknown): body is VersionBody {
  return typeof body === 'object' && body !== null
    && 'version' in body && typeof body.version === 'number';
}

function isWithoutEffect(answer: HttpAnswer): boolean {
  return [429, 503].includes(answer.statusCode)
    && typeof answer.body === 'object' && answer.body !== null
    && 'hasEffect' in answer.body && answer.body.hasEffect === false;
}

/**
 * Reads the answer to a get or watch.
 *
 * @param answer - what the service answered
 * @returns the value, `missing`, or `unavailable`, as a read has no effect
 */
export function getReadAnswer(answer: HttpAnswer): KeyValueAnswer {
  const { statusCode, body } = answer;
  if (statusCode === 200 && hasVersion(body)) {
    return { kind: 'value', version: body.version, value: body.value };
  }
  if (statusCode === 404) {
    return { kind: 'missing' };
  }
  return { kind: 'unavailable', detail: `The key-value service answered ${statusCode}.` };
}

/**
 * Reads the answer to a swap.
 *
 * @param answer - what the service answered
 * @returns `unavailable` only when the service said that the swap had no effect
 */
export function getSwapAnswer(answer: HttpAnswer): KeyValueAnswer {
  const { statusCode, body } = answer;
  if (statusCode === 200 && hasVersion(body)) {
    return { kind: 'swapped', version: body.version };
  }
  if (statusCode === 409 && hasVersion(body)) {
    return { kind: 'conflict', version: body.version, value: body.value };
  }
  const detail = `The key-value service answered ${statusCode}.`;
  return isWithoutEffect(answer) || statusCode === 400
    ? { kind: 'unavailable', detail }
    : { kind: 'unknown', detail };
}

/**
 * Tells whether a failed call was certainly not sent.
 *
 * @param error - why the call failed
 * @returns true only for errors of the connect, before a byte of the call
 */
function isConnectError(error: unknown): boolean {
  if (error instanceof errors.ConnectTimeoutError) {
    return true;
  }
  const code = error instanceof Error && 'code' in error ? error.code : undefined;
  return code === 'ECONNREFUSED' || code === 'EHOSTUNREACH' || code === 'ENETUNREACH';
}

/** The platform's key-value service over HTTP. */
export class HttpKeyValueClient implements KeyValueClient {
  readonly #options: HttpKeyValueClientOptions;

  readonly #pool: Pool;

  /**
   * @param options - the address, and bounds that differ from the defaults
   */
  constructor(options: Partial<HttpKeyValueClientOptions> & { readonly url: string }) {
    this.#options = { ...DEFAULT_HTTP_KEY_VALUE_CLIENT_OPTIONS, ...options };
    this.#pool = new Pool(this.#options.url, {
      connections: this.#options.maxConnections,
      pipelining: 1,
      connect: { timeout: this.#options.connectTimeoutMs },
    });
  }

  /** @inheritdoc */
  async call(callClass: KeyValueClass, call: KeyValueCall): Promise<KeyValueAnswer> {
    const { budget, clock } = this.#options;
    if (budget === null) {
      return this.#send(call);
    }
    // A waiting watch would tell too late that an absent service is back.
    const isProbe = budget.isOpen;
    const direction = call.kind === 'compareAndSwap' ? 'write' : 'read';
    const decision = budget.acquire(callClass, direction, clock.getMonotonicMs());
    if (decision.kind === 'refused') {
      return { kind: 'unavailable', detail: decision.detail };
    }
    if (decision.delayMs > 0) {
      await sleep(decision.delayMs);
    }
    const isShort = isProbe && call.kind === 'watch';
    const answer = await this.#send(isShort ? { ...call, waitMs: 0 } : call);
    if (answer.kind === 'unavailable' || answer.kind === 'unknown') {
      budget.recordFailure(clock.getMonotonicMs());
    } else {
      budget.recordSuccess(clock.getMonotonicMs());
    }
    return answer;
  }

  /** Breaks the connections; running calls end as if their answer was lost. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  #send(call: KeyValueCall): Promise<KeyValueAnswer> {
    switch (call.kind) {
      case 'get':
      case 'watch':
        return this.#read(call);
      case 'compareAndSwap':
        return this.#swap(call);
      default:
        throw exhaustiveSwitchError(call);
    }
  }

  async #read(call: Exclude<KeyValueCall, CompareAndSwapCall>): Promise<KeyValueAnswer> {
    const isWatch = call.kind === 'watch';
    const query = isWatch ? HttpKeyValueClient.#getWatchQuery(call) : '';
    const path = `/kv/${encodeURIComponent(call.key)}${query}`;
    const timeoutMs = this.#options.timeoutMs + (isWatch ? call.waitMs : 0);
    try {
      return getReadAnswer(await this.#request('GET', path, null, timeoutMs));
    } catch (error) {
      return { kind: 'unavailable', detail: String(error) };
    }
  }

  async #swap(call: CompareAndSwapCall): Promise<KeyValueAnswer> {
    const path = `/kv/${encodeURIComponent(call.key)}`;
    const { expectedVersion, value } = call;
    const body = JSON.stringify({ expectedVersion, value });
    try {
      return getSwapAnswer(await this.#request('POST', path, body, this.#options.timeoutMs));
    } catch (error) {
      const kind = isConnectError(error) ? 'unavailable' : 'unknown';
      return { kind, detail: String(error) };
    }
  }

  async #request(
    method: 'GET' | 'POST',
    path: string,
    body: string | null,
    timeoutMs: number,
  ): Promise<HttpAnswer> {
    const response = await this.#pool.request({
      method,
      path,
      body,
      headers: body === null ? null : JSON_HEADERS,
      signal: AbortSignal.timeout(timeoutMs),
    });
    const text = await readBoundedText(response.body);
    return { statusCode: response.statusCode, body: JSON.parse(text) as unknown };
  }

  static #getWatchQuery(call: WatchCall): string {
    return `?afterVersion=${call.afterVersion}&waitMs=${call.waitMs}`;
  }
}
