import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { UpstreamId } from '../lib/ids.ts';
import type { RequestQuarantine } from '../quarantine/RequestQuarantine.ts';

/**
 * Lets a trial go only to an upstream that has just passed a health check. An upstream that had
 * crashed before would also break off the request, which would wrongly count as a failed trial.
 */
export class TrialCheck {
  readonly #quarantine: RequestQuarantine;

  readonly #isTrial: boolean;

  #confirmedId: UpstreamId | null = null;

  /**
   * @param quarantine - runs the health checks
   * @param isTrial - whether the request is a trial; other requests need no check
   */
  constructor(quarantine: RequestQuarantine, isTrial: boolean) {
    this.#quarantine = quarantine;
    this.#isTrial = isTrial;
  }

  /**
   * @param id - an upstream
   * @returns whether the request may be sent to it
   */
  isPassed(id: UpstreamId): boolean {
    return !this.#isTrial || this.#confirmedId === id;
  }

  /**
   * Checks the health of an upstream.
   *
   * @param entry - the upstream
   * @param onPassed - called when the upstream is alive
   * @param onExcluded - called when the check fails; the upstream must not be used
   */
  check(entry: UpstreamEntry, onPassed: () => void, onExcluded: () => void): void {
    this.#quarantine.isAlive(entry).then((isAlive) => {
      if (isAlive) {
        this.#confirmedId = entry.id;
        onPassed();
      } else {
        onExcluded();
      }
    }).catch(() => onExcluded());
  }
}
