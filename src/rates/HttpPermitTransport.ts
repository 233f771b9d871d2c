import type { KnownHost } from '../directory/HostEntry.ts';
import type { UpstreamConnections } from '../upstreams/UpstreamConnections.ts';
import { readBoundedText } from '../upstreams/readBoundedText.ts';
import { PERMIT_PATHS, type PermitResponse, type PermitRequest } from './PermitMessage.ts';
import type { PermitTransport } from './PermitTransport.ts';

/** Response timeout; a decision takes no work, so a slower coordinator is skipped. */
const RESPONSE_TIMEOUT_MS = 300;
const STATUS_OK = 200;

/** Sends permit requests over HTTP to the peer port. */
export class HttpPermitTransport implements PermitTransport {
  readonly #connections: UpstreamConnections;

  /**
   * @param connections - connections to peers
   */
  constructor(connections: UpstreamConnections) {
    this.#connections = connections;
  }

  /** @inheritdoc */
  async requestPermit(coordinator: KnownHost, request: PermitRequest): Promise<PermitResponse> {
    const response = await this.#connections.get(`http://${coordinator.peerAddress}`).request({
      method: 'POST',
      path: PERMIT_PATHS.request,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(request),
      signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
    });
    if (response.statusCode !== STATUS_OK) {
      await response.body.dump();
      throw new Error(`host ${coordinator.id} answered with HTTP status ${response.statusCode}`);
    }
    return JSON.parse(await readBoundedText(response.body)) as PermitResponse;
  }
}
