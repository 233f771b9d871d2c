import type { UpstreamRecord } from '../configuration/records/UpstreamRecord.ts';
import type { CoreInput } from '../core/CoreInput.ts';
import { toId, type UpstreamId } from '../lib/ids.ts';
import { LoadReader } from '../upstreams/LoadReader.ts';

const POLL_PERIOD_MS = 500;

/** Reads the load reports of upstreams at a fixed period. */
export class LoadPoller {
  readonly #reader = new LoadReader();

  readonly #post: (input: CoreInput) => void;

  readonly #pending = new Set<UpstreamId>();

  #upstreams: readonly UpstreamRecord[] = [];

  readonly #timer: NodeJS.Timeout;

  /**
   * @param post - where the reports go
   */
  constructor(post: (input: CoreInput) => void) {
    this.#post = post;
    this.#timer = setInterval(() => this.#poll(), POLL_PERIOD_MS);
  }

  /**
   * @param upstreams - whose reports are read from now on
   */
  setUpstreams(upstreams: readonly UpstreamRecord[]): void {
    this.#upstreams = upstreams;
    this.#poll();
  }

  /** Stops reading. */
  async close(): Promise<void> {
    clearInterval(this.#timer);
    await this.#reader.close();
  }

  #poll(): void {
    this.#upstreams.forEach(({ id, url }) => {
      const upstreamId = toId<UpstreamId>(id);
      if (this.#pending.has(upstreamId)) {
        return;
      }
      this.#pending.add(upstreamId);
      this.#reader.read(upstreamId, url)
        .then(this.#post)
        .finally(() => this.#pending.delete(upstreamId));
    });
  }
}
