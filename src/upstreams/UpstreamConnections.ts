import { Pool, type Dispatcher } from 'undici';
import { limitInformationalResponses } from './limitInformationalResponses.ts';
import { createConnector } from './createConnector.ts';

/** Bounds of the connections to one upstream. */
export interface UpstreamConnectionsOptions {
  /** Connections to one upstream at most; further attempts wait unsent. */
  readonly maxConnections: number;
  /** Time that a connect may take. */
  readonly connectTimeoutMs: number;
  /** How long an idle connection is kept. */
  readonly keepAliveMs: number;
}

/** Bounds that suit upstreams a millisecond away. */
export const DEFAULT_UPSTREAM_CONNECTIONS_OPTIONS: UpstreamConnectionsOptions = {
  maxConnections: 256,
  connectTimeoutMs: 1000,
  keepAliveMs: 4000,
};

interface Connections {
  readonly pool: Pool;
  /** The pool, with bounds on what comes back. */
  readonly dispatcher: Dispatcher;
}

/** One keep-alive connection pool for each upstream. */
export class UpstreamConnections {
  readonly #options: UpstreamConnectionsOptions;

  readonly #pools = new Map<string, Connections>();

  /**
   * @param options - what differs from the defaults
   */
  constructor(options: Partial<UpstreamConnectionsOptions> = {}) {
    this.#options = { ...DEFAULT_UPSTREAM_CONNECTIONS_OPTIONS, ...options };
  }

  /**
   * @param url - base address of an upstream
   * @returns its connections; made at the first call
   */
  get(url: string): Dispatcher {
    const known = this.#pools.get(url);
    if (known !== undefined) {
      return known.dispatcher;
    }
    const pool = new Pool(url, {
      connections: this.#options.maxConnections,
      // One request at a time on a connection, so that a break concerns one attempt only.
      pipelining: 1,
      connect: createConnector(this.#options.connectTimeoutMs),
      keepAliveTimeout: this.#options.keepAliveMs,
      // Attempts carry their own timeout.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const dispatcher = pool.compose(limitInformationalResponses);
    this.#pools.set(url, { pool, dispatcher });
    return dispatcher;
  }

  /**
   * Lets go of an upstream that left the configuration; running requests end first.
   *
   * @param url - base address of the upstream
   */
  async remove(url: string): Promise<void> {
    const known = this.#pools.get(url);
    this.#pools.delete(url);
    await known?.pool.close();
  }

  /** Breaks all connections. */
  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map(({ pool }) => pool.destroy()));
  }
}
