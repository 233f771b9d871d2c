import type { ManualClock } from '../../src/time/ManualClock.ts';
import { FakeCoreContext } from './FakeCoreContext.ts';

/** Core context whose clock drifts from the true time by 0.4 %. */
export class DriftingContext extends FakeCoreContext {
  /** Local milliseconds per true millisecond. */
  readonly rate: number;

  /**
   * @param hostId - the host's id
   * @param clock - the true time
   * @param seed - seed of the randomness; the clock runs fast for an even seed, slow for an odd one
   */
  constructor(hostId: string, clock: ManualClock, seed: number) {
    super(hostId, clock, seed);
    this.rate = 1 + (seed % 2 === 0 ? 0.004 : -0.004);
  }

  /** @inheritdoc */
  override getNowMs(): number {
    return this.clock.getMonotonicMs() * this.rate;
  }
}
