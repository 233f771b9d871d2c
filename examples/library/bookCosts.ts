import { CostLedger } from 'parsleylift/cost';
import { DEFAULT_COST_OPTIONS } from '../../src/cost/CostOptions.ts';
import { toId } from '../../src/lib/ids.ts';
import { ManualClock } from '../../src/time/ManualClock.ts';
import { createExampleContext } from './createExampleContext.ts';

/**
 * Books the cost of an attempt that is reported twice, which the ledger enters once.
 *
 * @returns the booked cost, in millionths of the billing currency
 */
export function bookCosts(): number {
  const clock = new ManualClock();
  const ledger = new CostLedger(createExampleContext(clock), {
    ...DEFAULT_COST_OPTIONS, getWallMs: () => clock.getWallMs(),
  });
  const cost = {
    attemptId: toId('attempt-1'),
    accountId: toId('account-1'),
    pipelineId: toId('letters'),
    stageId: toId('generate'),
    costMicros: 660,
  } as Parameters<CostLedger['book']>[0];
  ledger.book(cost);
  ledger.book(cost);
  return ledger.getOwnRecords().reduce((sum, { costMicros }) => sum + costMicros, 0);
}
