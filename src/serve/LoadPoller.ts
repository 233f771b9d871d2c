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
   * @param post - posts each load report to the core
   */
  constructor(post: (input: CoreInput) => void) {
    this.#post = post;
    this.#timer = setInterval(() => this.#poll(), POLL_PERIOD_MS);
  }

  /**
   * Replaces the polled upstreams and polls them at once.
   *
   * @param upstreams - the upstreams to poll
   */
  setUpstreams(upstreams: readonly UpstreamRecord[]): void {
    this.#upstreams = upstreams;
    this.#poll();
  }

  /** Stops polling. */
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
