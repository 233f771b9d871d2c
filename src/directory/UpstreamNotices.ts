import type { Logger } from 'pino';
import type { Directory } from './Directory.ts';
import type { NoticeSource } from './DirectoryChange.ts';
import type { UpstreamLifetime } from './UpstreamEntry.ts';
import type { UpstreamNotice } from './UpstreamNotice.ts';

/** Longest back-off that is granted; a longer one is a mistake, or asked for again in time. */
const MAX_BACK_OFF_MS = 60_000;

/** Takes in what upstreams say of themselves in their answers. */
export class UpstreamNotices {
  readonly #directory: Directory;

  readonly #logger: Logger;

  /**
   * @param directory - keeps what is believed of upstreams
   * @param logger - gets a line for what cannot be believed
   */
  constructor(directory: Directory, logger: Logger) {
    this.#directory = directory;
    this.#logger = logger;
  }

  /**
   * @param lifetime - the process that answered
   * @param notice - what it said of itself
   * @param source - the answer
   */
  take(
    { id, startedAtMs }: UpstreamLifetime,
    { isLeaving, backOffMs, malformed }: UpstreamNotice,
    source: NoticeSource,
  ): void {
    if (malformed !== null) {
      this.#logger.warn({
        event: 'noticeUnreadable', upstreamId: id, malformed, ...source,
      }, 'passed over what an upstream said of itself');
    }
    if (isLeaving) {
      this.#directory.apply({ kind: 'upstreamLeaving', lifetime: { id, startedAtMs }, source });
    }
    if (backOffMs > 0) {
      const durationMs = Math.min(backOffMs, MAX_BACK_OFF_MS);
      if (durationMs < backOffMs) {
        this.#logger.warn({
          event: 'backOffShortened', upstreamId: id, backOffMs, durationMs, ...source,
        }, 'an upstream asked for a longer back-off than is granted');
      }
      this.#directory.apply({
        kind: 'upstreamBackOff', upstreamId: id, durationMs, source,
      });
    }
  }
}
