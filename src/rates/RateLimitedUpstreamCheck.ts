import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { Liveness, UpstreamCheck } from '../quarantine/UpstreamCheck.ts';
import type { SendRateLimiter } from './SendRateLimiter.ts';

/** Asks upstreams for their health within the limits that they name. */
export class RateLimitedUpstreamCheck implements UpstreamCheck {
  readonly #check: UpstreamCheck;

  readonly #rateLimiter: SendRateLimiter;

  /**
   * @param check - asks
   * @param rates - says whether it may
   */
  constructor(check: UpstreamCheck, rates: SendRateLimiter) {
    this.#check = check;
    this.#rateLimiter = rates;
  }

  /** @inheritdoc */
  async check(entry: UpstreamEntry, healthPath: string): Promise<Liveness> {
    return this.#rateLimiter.tryTakePermit(entry) ? this.#check.check(entry, healthPath) : 'unknown';
  }
}
