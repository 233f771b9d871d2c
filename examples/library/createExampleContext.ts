import type { CoreContext } from '../../src/core/CoreContext.ts';
import type { CoreOutput } from '../../src/core/CoreOutput.ts';
import { SeededRandomSource } from '../../src/lib/SeededRandomSource.ts';
import { toId } from '../../src/lib/ids.ts';
import type { ManualClock } from '../../src/time/ManualClock.ts';

/**
 * What an embedder gives each part: who it is, the time, randomness, and where outputs go.
 *
 * @param clock - the time; a program of yours passes its own
 * @param perform - carries out what a part wants done
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
