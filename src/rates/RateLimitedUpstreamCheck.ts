import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { Liveness, UpstreamCheck } from '../quarantine/UpstreamCheck.ts';
import type { SendRateLimiter } from './SendRateLimiter.ts';

/** Checks upstream health within the advertised limits; `unknown` without a permit. */
export class RateLimitedUpstreamCheck implements UpstreamCheck {
  readonly #check: UpstreamCheck;

  readonly #rateLimiter: SendRateLimiter;

  /**
   * @param check - sends the health check
   * @param rateLimiter - issues the permits
   */
  constructor(check: UpstreamCheck, rateLimiter: SendRateLimiter) {
    this.#check = check;
    this.#rateLimiter = rateLimiter;
  }

  /** @inheritdoc */
  async check(entry: UpstreamEntry, healthPath: string): Promise<Liveness> {
    return this.#rateLimiter.tryTakePermit(entry)
      ? this.#check.check(entry, healthPath)
      : 'unknown';
  }
}
