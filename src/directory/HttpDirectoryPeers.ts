import { pipeline } from 'node:stream';
import { createGunzip } from 'node:zlib';
import type { UpstreamConnections } from '../upstreams/UpstreamConnections.ts';
import { AnswerTimeout } from '../upstreams/AnswerTimeout.ts';
import { DIRECTORY_PATH, type DirectoryPeers, type PeerChanges } from './DirectoryPeers.ts';
import type { EraBound } from './EraBound.ts';
import type { KnownHost } from './HostEntry.ts';

/** Time for a reader's answer in addition to the requested wait. */
const ANSWER_TIMEOUT_MS = 400;
/** Time for a whole answer; one that takes longer is left to the store. */
const MAX_ANSWER_MS = 1_500;
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
    const timeout = new AnswerTimeout({
      beginMs: waitMs + ANSWER_TIMEOUT_MS,
      silenceMs: ANSWER_TIMEOUT_MS,
      maxMs: MAX_ANSWER_MS,
    });
    const response = await this.#connections.get(`http://${reader.peerAddress}`).request({
      method: 'GET',
      path: `${DIRECTORY_PATH}?after=${revision}&waitMs=${waitMs}`,
      headers: { 'accept-encoding': 'gzip' },
      signal: timeout.signal,
    }).finally(() => timeout.close());
    if (response.statusCode !== STATUS_OK) {
      await response.body.dump();
      throw new Error(`host ${reader.id} answered with status ${response.statusCode}`);
    }
    const body = response.headers['content-encoding'] === 'gzip'
      ? pipeline(response.body, createGunzip(), () => {
        // An error also ends the unpacked body, whose reader reports it.
      })
      : response.body;
    return JSON.parse(await timeout.readText(body)) as PeerChanges;
  }
}
