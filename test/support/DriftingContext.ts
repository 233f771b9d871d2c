import type { ManualClock } from '../../src/time/ManualClock.ts';
import { FakeCoreContext } from './FakeCoreContext.ts';

/** A context whose clock runs a little apart from the true time. */
export class DriftingContext extends FakeCoreContext {
  /** Local milliseconds for each true one. */
  readonly rate: number;

  /**
   * @param hostId - the name of the host
   * @param clock - the true time
   * @param seed - seed of the randomness; its parity tells whether the clock runs fast or slow
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
