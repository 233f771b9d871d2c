import { Pool } from 'undici';
import type { HostId } from '../lib/ids.ts';
import { readBoundedText } from '../upstreams/readBoundedText.ts';
import type { HostListEntry } from './HostListEntry.ts';

const JSON_HEADERS = { 'content-type': 'application/json' };
const CONNECTION_COUNT = 2;

/** Options of the client. */
export interface HttpHostListClientOptions {
  /** Base address of the platform. */
  readonly url: string;
  /** Time that a call may take. */
  readonly timeoutMs: number;
}

/** Bounds that suit a list which answers in milliseconds. */
export const DEFAULT_HTTP_HOST_LIST_CLIENT_OPTIONS = { timeoutMs: 2000 } as const;

/** The platform's host list over HTTP. No call rejects. */
export class HttpHostListClient {
  readonly #pool: Pool;

  readonly #timeoutMs: number;

  /**
   * @param options - the address, and bounds that differ from the defaults
   */
  constructor(options: Partial<HttpHostListClientOptions> & { readonly url: string }) {
    const allOptions = { ...DEFAULT_HTTP_HOST_LIST_CLIENT_OPTIONS, ...options };
    this.#timeoutMs = allOptions.timeoutMs;
    this.#pool = new Pool(allOptions.url, { connections: CONNECTION_COUNT, pipelining: 1 });
  }

  /**
   * Registers a host, or renews its entry.
   *
   * @param entry - the host as it is now
   * @returns whether the list took it
   */
  async register(entry: HostListEntry): Promise<boolean> {
    const path = `/hosts/${encodeURIComponent(entry.hostId)}`;
    return (await this.#request('PUT', path, JSON.stringify(entry))) !== null;
  }

  /**
   * @returns the hosts as the list shows them, late; null when it can't be read
   */
  async read(): Promise<readonly HostListEntry[] | null> {
    const body = await this.#request('GET', '/hosts', null);
    return Array.isArray(body) ? body : null;
  }

  /**
   * Takes a host off the list.
   *
   * @param hostId - a host that is gone
   * @returns whether the list took it
   */
  async deregister(hostId: HostId): Promise<boolean> {
    return (await this.#request('DELETE', `/hosts/${encodeURIComponent(hostId)}`, null)) !== null;
  }

  /** Breaks the connections. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #request(
    method: 'GET' | 'PUT' | 'DELETE',
    path: string,
    body: string | null,
  ): Promise<unknown> {
    try {
      const response = await this.#pool.request({
        method,
        path,
        body,
        headers: body === null ? null : JSON_HEADERS,
        signal: AbortSignal.timeout(this.#timeoutMs),
      });
      const answer: unknown = JSON.parse(await readBoundedText(response.body));
      return response.statusCode === 200 ? answer : null;
    } catch {
      return null;
    }
  }
}
