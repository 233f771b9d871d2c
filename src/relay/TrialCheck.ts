import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { UpstreamId } from '../lib/ids.ts';
import type { RequestQuarantine } from '../quarantine/RequestQuarantine.ts';

/**
 * Keeps a trial for an upstream that has just shown that it lives: one that had ended before would
 * break the request off as well, and a request that merely was there would count as failed.
 */
export class TrialCheck {
  readonly #quarantine: RequestQuarantine;

  readonly #isTrial: boolean;

  #confirmedId: UpstreamId | null = null;

  /**
   * @param quarantine - asks upstreams
   * @param isTrial - whether the request is on trial; others need no check
   */
  constructor(quarantine: RequestQuarantine, isTrial: boolean) {
    this.#quarantine = quarantine;
    this.#isTrial = isTrial;
  }

  /**
   * @param id - an upstream
   * @returns whether the request may be sent there
   */
  isPassed(id: UpstreamId): boolean {
    return !this.#isTrial || this.#confirmedId === id;
  }

  /**
   * Asks an upstream; afterwards it has passed, or is to be left out.
   *
   * @param entry - the upstream
   * @param onPassed - called when it lives
   * @param onLeftOut - called when it does not say so
   */
  check(entry: UpstreamEntry, onPassed: () => void, onLeftOut: () => void): void {
    this.#quarantine.isAlive(entry).then((isAlive) => {
      if (isAlive) {
        this.#confirmedId = entry.id;
        onPassed();
      } else {
        onLeftOut();
      }
    }).catch(() => onLeftOut());
  }
}
