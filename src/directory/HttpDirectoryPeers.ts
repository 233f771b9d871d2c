import type { UpstreamConnections } from '../upstreams/UpstreamConnections.ts';
import { readBoundedText } from '../upstreams/readBoundedText.ts';
import { DIRECTORY_PATH, type DirectoryPeers, type PeerChanges } from './DirectoryPeers.ts';
import type { EraBound } from './EraBound.ts';
import type { KnownHost } from './HostEntry.ts';

/** Time for a reader's answer in addition to the requested wait. */
const ANSWER_TIMEOUT_MS = 400;
const STATUS_OK = 200;

/** Requests directory changes from readers over HTTP, at their peer port. */
export class HttpDirectoryPeers implements DirectoryPeers {
  readonly #connections: UpstreamConnections;

  /**
   * @param connections - the connections to peers
   */
  constructor(connections: UpstreamConnections) {
    this.#connections = connections;
  }

  /** @inheritdoc */
  async follow(reader: KnownHost, revision: EraBound, waitMs: number): Promise<PeerChanges> {
    const response = await this.#connections.get(`http://${reader.peerAddress}`).request({
      method: 'GET',
      path: `${DIRECTORY_PATH}?after=${revision}&waitMs=${waitMs}`,
      signal: AbortSignal.timeout(waitMs + ANSWER_TIMEOUT_MS),
    });
    if (response.statusCode !== STATUS_OK) {
      await response.body.dump();
      throw new Error(`host ${reader.id} answered with status ${response.statusCode}`);
    }
    return JSON.parse(await readBoundedText(response.body)) as PeerChanges;
  }
}
