import { Agent, type Dispatcher } from 'undici';
import { UpstreamConnections } from '../../src/upstreams/UpstreamConnections.ts';

/** Nothing answers there: connections that a cut swallows. */
const SILENT_CONNECT_TIMEOUT_MS = 300;

/** How a host is cut off from all upstreams. */
export type Cut = 'none' | 'silent' | 'refused';

/** Connections of one host, whose path to the upstreams can be cut. */
export class CuttableConnections extends UpstreamConnections {
  readonly #upstreamUrls: ReadonlySet<string>;

  readonly #refusing = new Agent({
    connect: (_options, callback) => {
      callback(new Error('connect ECONNREFUSED'), null);
    },
  });

  readonly #silent = new Agent({ connect: () => {}, connectTimeout: SILENT_CONNECT_TIMEOUT_MS });

  /** How the host is cut off from all upstreams. */
  cut: Cut = 'none';

  /**
   * @param upstreamUrls - base addresses of the upstreams
   */
  constructor(upstreamUrls: ReadonlySet<string>) {
    super();
    this.#upstreamUrls = upstreamUrls;
  }

  /** @inheritdoc */
  override get(url: string): Dispatcher {
    if (!this.#upstreamUrls.has(url) || this.cut === 'none') {
      return super.get(url);
    }
    const agent = this.cut === 'silent' ? this.#silent : this.#refusing;
    return agent.compose((dispatch) => (options, handler) => (
      dispatch({ ...options, origin: url }, handler)));
  }

  /** @inheritdoc */
  override async probe(url: string): Promise<boolean> {
    const isCut = this.cut !== 'none' && this.#upstreamUrls.has(url);
    return !isCut && super.probe(url);
  }
}
