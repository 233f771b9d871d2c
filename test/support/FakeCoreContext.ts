import type { CoreContext, SelfIdentity } from '../../src/core/CoreContext.ts';
import type { CoreOutput } from '../../src/core/CoreOutput.ts';
import type { RandomSource } from '../../src/lib/RandomSource.ts';
import { SeededRandomSource } from '../../src/lib/SeededRandomSource.ts';
import { toId } from '../../src/lib/ids.ts';
import { ManualClock } from '../../src/time/ManualClock.ts';

/** Core context under a manual clock that records emitted outputs. */
export class FakeCoreContext implements CoreContext {
  readonly clock: ManualClock;

  readonly random: RandomSource;

  readonly self: SelfIdentity;

  #outputs: CoreOutput[] = [];

  /**
   * @param hostId - the host's id
   * @param clock - shared by the hosts of a test
   * @param seed - seed of the randomness
   */
  constructor(hostId = 'entry-a1', clock = new ManualClock(), seed = 1) {
    this.clock = clock;
    this.random = new SeededRandomSource(seed);
    this.self = {
      hostId: toId(hostId),
      incarnationId: toId(`${hostId}-incarnation-${seed}`),
      failureDomainId: toId('domain-a'),
      peerAddress: '127.0.0.1:7000',
    };
  }

  /** @inheritdoc */
  getNowMs(): number {
    return this.clock.getMonotonicMs();
  }

  /** @inheritdoc */
  emit(output: CoreOutput): void {
    this.#outputs.push(output);
  }

  /**
   * @returns the outputs emitted since the last call
   */
  takeOutputs(): CoreOutput[] {
    const outputs = this.#outputs;
    this.#outputs = [];
    return outputs;
  }
}
