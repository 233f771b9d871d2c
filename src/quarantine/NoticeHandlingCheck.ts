import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { UpstreamNoticeHandler } from '../directory/UpstreamNoticeHandler.ts';
import type { Clock } from '../time/Clock.ts';
import type { HealthClient, Liveness, UpstreamCheck } from './UpstreamCheck.ts';

/** Identifies a health check in the log, in the field for the request id of other answers. */
const CHECK_SOURCE_ID = 'health check';

/** Checks the health of upstreams and handles the notices in their answers. */
export class NoticeHandlingCheck implements UpstreamCheck {
  readonly #clock: Clock;

  readonly #client: HealthClient;

  readonly #notices: UpstreamNoticeHandler;

  /**
   * @param clock - times the checks
   * @param client - sends the checks
   * @param notices - handles the notices in the answers
   */
  constructor(clock: Clock, client: HealthClient, notices: UpstreamNoticeHandler) {
    this.#clock = clock;
    this.#client = client;
    this.#notices = notices;
  }

  /** @inheritdoc */
  async check(entry: UpstreamEntry, healthPath: string): Promise<Liveness> {
    const sentAtMs = this.#clock.getMonotonicMs();
    const { liveness, notice, status } = await this.#client.queryHealth(entry, healthPath);
    this.#notices.handle(entry, notice, {
      requestId: CHECK_SOURCE_ID, status: status ?? 0, sentAtMs,
    });
    return liveness;
  }
}
