import type { Logger } from 'pino';
import type { Clock } from '../time/Clock.ts';
import type { UpstreamId } from '../lib/ids.ts';
import type { Directory } from './Directory.ts';
import type { NoticeSource } from './DirectoryChange.ts';
import type { UpstreamLifetime } from './UpstreamEntry.ts';
import type { LimitNotice, UpstreamNotice } from './UpstreamNotice.ts';

/** Longest accepted back-off; a longer one is a mistake, or the upstream asks for it again. */
const MAX_BACK_OFF_MS = 60_000;
/** Shortest interval between log lines about malformed notices of one upstream. */
const UNREADABLE_LOG_INTERVAL_MS = 10_000;
/** Largest number of upstreams for which the time of the last such line is kept. */
const MAX_UNREADABLE_COUNT = 256;

/** Answer of an upstream, with the time at which its request was sent. */
export interface AnswerSource extends NoticeSource {
  /** Monotonic time. */
  readonly sentAtMs: number;
}

/** Applies the notices in the answers of upstreams to the directory. */
export class UpstreamNoticeHandler {
  readonly #clock: Clock;

  readonly #directory: Directory;

  readonly #unreadableAtMs = new Map<UpstreamId, number>();

  readonly #logger: Logger;

  /**
   * @param clock - tells when notices are received
   * @param directory - receives the changes
   * @param logger - receives a line for malformed notices and shortened back-offs
   */
  constructor(clock: Clock, directory: Directory, logger: Logger) {
    this.#clock = clock;
    this.#directory = directory;
    this.#logger = logger;
  }

  /**
   * Applies the notices of one answer.
   *
   * @param lifetime - the process that answered
   * @param notice - its notices
   * @param source - the answer
   */
  handle(
    { id, startedAtMs }: UpstreamLifetime,
    {
      isLeaving, backOffMs, limit, malformed,
    }: UpstreamNotice,
    { requestId, status, sentAtMs }: AnswerSource,
  ): void {
    const source = { requestId, status };
    if (malformed !== null && this.#mayLogUnreadable(id)) {
      this.#logger.warn({
        event: 'noticeUnreadable', upstreamId: id, malformed, ...source,
      }, 'ignored a malformed notice of an upstream');
    }
    this.#handleLimit({ id, startedAtMs }, limit, { requestId, status, sentAtMs });
    if (isLeaving) {
      this.#directory.apply({ kind: 'upstreamLeaving', lifetime: { id, startedAtMs }, source });
    }
    if (backOffMs > 0) {
      const durationMs = Math.min(backOffMs, MAX_BACK_OFF_MS);
      if (durationMs < backOffMs) {
        this.#logger.warn({
          event: 'backOffShortened', upstreamId: id, backOffMs, durationMs, ...source,
        }, 'an upstream asked for a back-off longer than the maximum; shortened it');
      }
      this.#directory.apply({
        kind: 'upstreamBackOff', upstreamId: id, durationMs, source,
      });
    }
  }

  #handleLimit(
    lifetime: UpstreamLifetime,
    limit: LimitNotice,
    { requestId, status, sentAtMs }: AnswerSource,
  ): void {
    if (limit.kind === 'unsaid') {
      return;
    }
    this.#directory.apply({
      kind: 'upstreamLimit',
      advertisedLimit: {
        lifetime,
        requestsPerSecond: limit.kind === 'named' ? limit.requestsPerSecond : null,
        requestSentAtMs: sentAtMs,
        receivedAtMs: this.#clock.getMonotonicMs(),
      },
      source: { kind: 'answer', requestId, status },
    });
  }

  /** Limits the rate of log lines, since a malformed notice is repeated in many answers. */
  #mayLogUnreadable(id: UpstreamId): boolean {
    const nowMs = this.#clock.getMonotonicMs();
    if (nowMs - (this.#unreadableAtMs.get(id) ?? -Infinity) < UNREADABLE_LOG_INTERVAL_MS) {
      return false;
    }
    if (this.#unreadableAtMs.size >= MAX_UNREADABLE_COUNT) {
      this.#unreadableAtMs.clear();
    }
    this.#unreadableAtMs.set(id, nowMs);
    return true;
  }
}
