import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { Liveness, UpstreamCheck } from '../quarantine/UpstreamCheck.ts';
import type { SendRates } from './SendRates.ts';

/** Asks upstreams for their health within the limits that they name. */
export class RatedUpstreamCheck implements UpstreamCheck {
  readonly #check: UpstreamCheck;

  readonly #rates: SendRates;

  /**
   * @param check - asks
   * @param rates - says whether it may
   */
  constructor(check: UpstreamCheck, rates: SendRates) {
    this.#check = check;
    this.#rates = rates;
  }

  /** @inheritdoc */
  async check(entry: UpstreamEntry, healthPath: string): Promise<Liveness> {
    return this.#rates.tryTake(entry) ? this.#check.check(entry, healthPath) : 'unknown';
  }
}
