import { LeaseHolder } from 'parsleylift/leases';
import type { CoreOutput } from '../../src/core/CoreOutput.ts';
import { ManualClock } from '../../src/time/ManualClock.ts';
import { createExampleContext } from './createExampleContext.ts';

/**
 * Acquires a lease in a key-value store in which each compare-and-swap succeeds.
 *
 * @returns the epoch under which the lease is held
 */
export function holdLease(): number | undefined {
  const calls: CoreOutput[] = [];
  const lease = new LeaseHolder(
    createExampleContext(new ManualClock(), (output) => calls.push(output)),
    'leases/report-writer',
  );
  lease.setIsWanted(true);
  for (let version = 0; lease.getHeld() === null; version += 1) {
    lease.tick();
    const call = calls.pop();
    if (call?.kind !== 'callKeyValue') {
      return undefined;
    }
    lease.handleKeyValueAnswer({
      kind: 'keyValueAnswered',
      operationId: call.operationId,
      answer: call.call.kind === 'get' ? { kind: 'missing' } : { kind: 'swapped', version },
    });
  }
  return lease.getHeld()?.epoch;
}
