import { AnswerTimeout } from '../upstreams/AnswerTimeout.ts';
import type { UpstreamConnections } from '../upstreams/UpstreamConnections.ts';
import { CONFIGURATION_PATH, type ConfigurationPeers } from './ConfigurationPeers.ts';

const ANSWER_TIMEOUT_MS = 400;
/** Time for a whole answer: a configuration may have a megabyte. */
const MAX_ANSWER_MS = 3_000;
const STATUS = { ok: 200, noContent: 204 } as const;

/** Reads the configuration of other hosts over HTTP, at their peer port. */
export class HttpConfigurationPeers implements ConfigurationPeers {
  readonly #connections: UpstreamConnections;

  /**
   * @param connections - the connections to peers
   */
  constructor(connections: UpstreamConnections) {
    this.#connections = connections;
  }

  /** @inheritdoc */
  async read(peerAddress: string, newerThan: number): Promise<string | null> {
    const timeout = new AnswerTimeout({
      beginMs: ANSWER_TIMEOUT_MS, silenceMs: ANSWER_TIMEOUT_MS, maxMs: MAX_ANSWER_MS,
    });
    const response = await this.#connections.get(`http://${peerAddress}`).request({
      method: 'GET',
      path: `${CONFIGURATION_PATH}?newerThan=${newerThan}`,
      signal: timeout.signal,
    }).finally(() => timeout.close());
    const text = await timeout.readText(response.body);
    switch (response.statusCode) {
      case STATUS.ok:
        return text;
      case STATUS.noContent:
        return null;
      default:
        throw new Error(`${peerAddress} answered ${CONFIGURATION_PATH} with status `
          + `${response.statusCode}`);
    }
  }
}
