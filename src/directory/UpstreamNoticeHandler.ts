import type { Logger } from 'pino';
import type { Clock } from '../time/Clock.ts';
import type { UpstreamId } from '../lib/ids.ts';
import type { Directory } from './Directory.ts';
import type { NoticeSource } from './DirectoryChange.ts';
import type { UpstreamLifetime } from './UpstreamEntry.ts';
import type { LimitNotice, UpstreamNotice } from './UpstreamNotice.ts';

/** Longest back-off that is granted; a longer one is a mistake, or asked for again in time. */
const MAX_BACK_OFF_MS = 60_000;
/** Pause between lines about what one upstream says and nobody can read. */
const UNREADABLE_LOG_INTERVAL_MS = 10_000;
/** Upstreams of which that pause is kept. */
const MAX_UNREADABLE_COUNT = 256;

/** When the request was sent that an answer belongs to, beside what names it. */
export interface AnswerSource extends NoticeSource {
  /** Monotonic time. */
  readonly sentAtMs: number;
}

/** Takes in what upstreams say of themselves in their answers. */
export class UpstreamNoticeHandler {
  readonly #clock: Clock;

  readonly #directory: Directory;

  readonly #unreadableAtMs = new Map<UpstreamId, number>();

  readonly #logger: Logger;

  /**
   * @param clock - dates what upstreams say
   * @param directory - keeps what is believed of upstreams
   * @param logger - gets a line for what cannot be believed
   */
  constructor(clock: Clock, directory: Directory, logger: Logger) {
    this.#clock = clock;
    this.#directory = directory;
    this.#logger = logger;
  }

  /**
   * @param lifetime - the process that answered
   * @param notice - what it said of itself
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
      }, 'passed over what an upstream said of itself');
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
        }, 'an upstream asked for a longer back-off than is granted');
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

  /** One line says what is wrong; the answers that repeat it are many. */
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
