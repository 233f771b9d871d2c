import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { UpstreamNoticeHandler } from '../directory/UpstreamNoticeHandler.ts';
import type { Clock } from '../time/Clock.ts';
import type { HealthCaller, SignOfLife, UpstreamCheck } from './UpstreamCheck.ts';

/** Names a check in the log, where an answer to a request would have the request's id. */
const CHECK_SOURCE_ID = 'health check';

/** Asks upstreams for their health, and takes in what they say of themselves with the answer. */
export class NotingUpstreamCheck implements UpstreamCheck {
  readonly #clock: Clock;

  readonly #caller: HealthCaller;

  readonly #notices: UpstreamNoticeHandler;

  /**
   * @param clock - dates the questions
   * @param caller - asks
   * @param notices - gets what upstreams say of themselves
   */
  constructor(clock: Clock, caller: HealthCaller, notices: UpstreamNoticeHandler) {
    this.#clock = clock;
    this.#caller = caller;
    this.#notices = notices;
  }

  /** @inheritdoc */
  async check(entry: UpstreamEntry, healthPath: string): Promise<SignOfLife> {
    const sentAtMs = this.#clock.getMonotonicMs();
    const { sign, notice, status } = await this.#caller.ask(entry, healthPath);
    this.#notices.handle(entry, notice, {
      requestId: CHECK_SOURCE_ID, status: status ?? 0, sentAtMs,
    });
    return sign;
  }
}
