import { connect } from 'node:net';
import { Client, Pool, type Dispatcher } from 'undici';
import { limitInformationalResponses } from './limitInformationalResponses.ts';
import { createConnector } from './createConnector.ts';

/** Bounds of the connections to one upstream. */
export interface UpstreamConnectionsOptions {
  /** Largest number of connections to one upstream; further attempts wait unsent. */
  readonly maxConnections: number;
  /** Timeout of a connect. */
  readonly connectTimeoutMs: number;
  /** Time for which an idle connection is kept. */
  readonly keepAliveMs: number;
}

/** Defaults for upstreams at a network distance of about a millisecond. */
export const DEFAULT_UPSTREAM_CONNECTIONS_OPTIONS: UpstreamConnectionsOptions = {
  maxConnections: 256,
  connectTimeoutMs: 1000,
  keepAliveMs: 4000,
};

interface Connections {
  readonly pool: Pool;
  /** The pool with a limit on informational responses. */
  readonly dispatcher: Dispatcher;
}

/** One keep-alive connection pool for each upstream. */
export class UpstreamConnections {
  readonly #options: UpstreamConnectionsOptions;

  readonly #pools = new Map<string, Connections>();

  readonly #connectCounts = new Map<string, number>();

  /**
   * @param options - overrides of the defaults
   */
  constructor(options: Partial<UpstreamConnectionsOptions> = {}) {
    this.#options = { ...DEFAULT_UPSTREAM_CONNECTIONS_OPTIONS, ...options };
  }

  /**
   * @param url - base address of an upstream
   * @returns its connections, which the first call creates
   */
  get(url: string): Dispatcher {
    const known = this.#pools.get(url);
    if (known !== undefined) {
      return known.dispatcher;
    }
    const pool = new Pool(url, {
      ...this.#createClientOptions(), connections: this.#options.maxConnections,
    });
    pool.on('connect', () => this.#connectCounts.set(url, this.getConnectCount(url) + 1));
    const dispatcher = pool.compose(limitInformationalResponses);
    this.#pools.set(url, { pool, dispatcher });
    return dispatcher;
  }

  /**
   * @param url - base address of an upstream
   * @returns the number of its kept connections that were opened so far
   */
  getConnectCount(url: string): number {
    return this.#connectCounts.get(url) ?? 0;
  }

  /**
   * Opens a new connection for one request. It carries no late bytes of an earlier answer.
   *
   * @param url - base address of an upstream
   * @returns a dispatcher for the request, which closes the connection after it
   */
  openSingle(url: string): Dispatcher {
    const client = new Client(url, this.#createClientOptions());
    const dispatchOnce: Dispatcher.DispatcherComposeInterceptor = (dispatch) => (
      (options, handler) => {
        const isAccepted = dispatch(options, handler);
        // Lets the request end first; it has its own error, if any.
        client.close().catch(() => client.destroy());
        return isAccepted;
      });
    return client.compose(limitInformationalResponses, dispatchOnce);
  }

  /**
   * Tries to open a new connection.
   *
   * @param url - base address of an upstream
   * @returns whether it was opened within the timeout of a connect; it is closed at once
   */
  probe(url: string): Promise<boolean> {
    const { hostname, port } = new URL(url);
    return new Promise((resolve) => {
      const socket = connect({ host: hostname, port: Number(port) });
      const finish = (isOpen: boolean): void => {
        resolve(isOpen);
        socket.destroy();
      };
      socket.setTimeout(this.#options.connectTimeoutMs, () => finish(false));
      socket.once('connect', () => finish(true));
      socket.once('error', () => finish(false));
    });
  }

  /**
   * Closes the connections to an upstream that left the configuration; running requests end first.
   *
   * @param url - base address of the upstream
   */
  async remove(url: string): Promise<void> {
    const known = this.#pools.get(url);
    this.#pools.delete(url);
    await known?.pool.close();
  }

  #createClientOptions(): Client.Options {
    return {
      // One request at a time per connection, so that a broken one affects a single attempt.
      pipelining: 1,
      connect: createConnector(this.#options.connectTimeoutMs),
      keepAliveTimeout: this.#options.keepAliveMs,
      // Attempts carry their own timeout.
      headersTimeout: 0,
      bodyTimeout: 0,
    };
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map(({ pool }) => pool.destroy()));
  }
}
