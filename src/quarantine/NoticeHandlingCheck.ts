import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { UpstreamNoticeHandler } from '../directory/UpstreamNoticeHandler.ts';
import type { Clock } from '../time/Clock.ts';
import type { HealthClient, Liveness, UpstreamCheck } from './UpstreamCheck.ts';

/** Names a check in the log, where an answer to a request would have the request's id. */
const CHECK_SOURCE_ID = 'health check';

/** Asks upstreams for their health, and takes in what they say of themselves with the answer. */
export class NoticeHandlingCheck implements UpstreamCheck {
  readonly #clock: Clock;

  readonly #client: HealthClient;

  readonly #notices: UpstreamNoticeHandler;

  /**
   * @param clock - dates the questions
   * @param client - asks
   * @param notices - gets what upstreams say of themselves
   */
  constructor(clock: Clock, client: HealthClient, notices: UpstreamNoticeHandler) {
    this.#clock = clock;
    this.#client = client;
    this.#notices = notices;
  }

  /** @inheritdoc */
  async check(entry: UpstreamEntry, healthPath: string): Promise<Liveness> {
    const sentAtMs = this.#clock.getMonotonicMs();
    const { liveness: sign, notice, status } = await this.#client.queryHealth(entry, healthPath);
    this.#notices.handle(entry, notice, {
      requestId: CHECK_SOURCE_ID, status: status ?? 0, sentAtMs,
    });
    return sign;
  }
}
