import type { KnownHost } from '../directory/HostEntry.ts';
import type { UpstreamConnections } from '../upstreams/UpstreamConnections.ts';
import { readBoundedText } from '../upstreams/readBoundedText.ts';
import { PERMIT_PATHS, type PermitResponse, type PermitRequest } from './PermitMessage.ts';
import type { PermitTransport } from './PermitTransport.ts';

/** The answer needs no work; a host that is silent for longer is passed over. */
const ANSWER_TIMEOUT_MS = 300;
const STATUS_OK = 200;

/** Asks over HTTP on the peer port. */
export class HttpPermitTransport implements PermitTransport {
  readonly #connections: UpstreamConnections;

  /**
   * @param connections - connections to peers
   */
  constructor(connections: UpstreamConnections) {
    this.#connections = connections;
  }

  /** @inheritdoc */
  async requestPermit(keeper: KnownHost, ask: PermitRequest): Promise<PermitResponse> {
    const response = await this.#connections.get(`http://${keeper.peerAddress}`).request({
      method: 'POST',
      path: PERMIT_PATHS.request,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(ask),
      signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
    });
    if (response.statusCode !== STATUS_OK) {
      await response.body.dump();
      throw new Error(`host ${keeper.id} answered ${response.statusCode}`);
    }
    return JSON.parse(await readBoundedText(response.body)) as PermitResponse;
  }
}
