import type { KnownHost } from '../directory/HostEntry.ts';
import type { UpstreamConnections } from '../upstreams/UpstreamConnections.ts';
import { readBoundedText } from '../upstreams/readBoundedText.ts';
import { RATE_PATHS, type LeaveAnswer, type LeaveAsk } from './RateMessage.ts';
import type { RatePeers } from './RatePeers.ts';

/** The answer needs no work; a host that is silent for longer is passed over. */
const ANSWER_TIMEOUT_MS = 300;
const STATUS_OK = 200;

/** Asks over HTTP on the peer port. */
export class HttpRatePeers implements RatePeers {
  readonly #connections: UpstreamConnections;

  /**
   * @param connections - connections to peers
   */
  constructor(connections: UpstreamConnections) {
    this.#connections = connections;
  }

  /** @inheritdoc */
  async ask(keeper: KnownHost, ask: LeaveAsk): Promise<LeaveAnswer> {
    const response = await this.#connections.get(`http://${keeper.peerAddress}`).request({
      method: 'POST',
      path: RATE_PATHS.ask,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(ask),
      signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
    });
    if (response.statusCode !== STATUS_OK) {
      await response.body.dump();
      throw new Error(`host ${keeper.id} answered ${response.statusCode}`);
    }
    return JSON.parse(await readBoundedText(response.body)) as LeaveAnswer;
  }
}
