import type { CoreContext } from '../../src/core/CoreContext.ts';
import type { CoreOutput } from '../../src/core/CoreOutput.ts';
import { SeededRandomSource } from '../../src/lib/SeededRandomSource.ts';
import { toId } from '../../src/lib/ids.ts';
import type { ManualClock } from '../../src/time/ManualClock.ts';

/**
 * Creates the context that an embedding program passes to each component: the identity of the host,
 * the time, randomness and a receiver of outputs.
 *
 * @param clock - source of the time; your program passes its own
 * @param perform - performs an output of a component
 * @returns the context
 */
export function createExampleContext(
  clock: ManualClock,
  perform: (output: CoreOutput) => void = () => undefined,
): CoreContext {
  return {
    self: {
      hostId: toId('host-1'),
      incarnationId: toId('incarnation-1'),
      failureDomainId: toId('domain-a'),
      peerAddress: '127.0.0.1:7000',
    },
    random: new SeededRandomSource(1),
    getNowMs: () => clock.getMonotonicMs(),
    emit: perform,
  };
}
