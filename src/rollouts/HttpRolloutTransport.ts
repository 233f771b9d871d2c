import type { KnownHost } from '../directory/HostEntry.ts';
import type { UpstreamConnections } from '../upstreams/UpstreamConnections.ts';
import { readBoundedText } from '../upstreams/readBoundedText.ts';
import { ROLLOUT_PATHS, type RolloutReport, type RolloutResponse } from './RolloutReport.ts';
import type { RolloutTransport } from './RolloutTransport.ts';

/** Response timeout; a leader that is slower is taken for stopped. */
const RESPONSE_TIMEOUT_MS = 400;
const STATUS_OK = 200;

/** Sends reports over HTTP to the peer port. */
export class HttpRolloutTransport implements RolloutTransport {
  readonly #connections: UpstreamConnections;

  /**
   * @param connections - connections to peers
   */
  constructor(connections: UpstreamConnections) {
    this.#connections = connections;
  }

  /** @inheritdoc */
  async sendReport(leader: KnownHost, report: RolloutReport): Promise<RolloutResponse> {
    const response = await this.#connections.get(`http://${leader.peerAddress}`).request({
      method: 'POST',
      path: ROLLOUT_PATHS.report,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(report),
      signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
    });
    if (response.statusCode !== STATUS_OK) {
      await response.body.dump();
      throw new Error(`host ${leader.id} answered with HTTP status ${response.statusCode}`);
    }
    return JSON.parse(await readBoundedText(response.body)) as RolloutResponse;
  }
}
