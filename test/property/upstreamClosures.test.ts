import { equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  ALLOWED_ARRIVALS, UpstreamClosureModel, type ClosureAction,
} from './UpstreamClosureModel.ts';

const SEED = 18;
const RUNS = 800;
const UPSTREAM_COUNT = 3;

const actions = fc.array(fc.record<ClosureAction>({
  kind: fc.constantFrom(
    'send',
    'send',
    'send',
    'send',
    'answer',
    'leave',
    'backOff',
    'restart',
    'list',
    'list',
    'listOld',
    'unlist',
    'readLess',
    'advance',
    'advance',
    'advance',
  ),
  upstream: fc.nat(UPSTREAM_COUNT - 1),
  durationMs: fc.constantFrom(1, 50, 300, 400, 700, 1_500),
}), { maxLength: 200, size: 'max' });

describe('closed upstreams', () => {
  it('receive no later sends, whatever the store and other answers contain', () => {
    let sendCount = 0;
    let mostArrivals = 0;
    fc.assert(fc.property(actions, (list) => {
      const model = new UpstreamClosureModel(UPSTREAM_COUNT);
      list.forEach((action) => model.act(action));
      sendCount += model.sendCount;
      mostArrivals = Math.max(mostArrivals, model.mostArrivals);
      equal(model.lateSendCount, 0, 'sent to an upstream that is known to be leaving');
      ok(model.mostArrivals <= ALLOWED_ARRIVALS, `${model.mostArrivals} arrivals in a back-off`);
    }), { seed: SEED, numRuns: RUNS });
    ok(sendCount > RUNS, `only ${sendCount} sends, too few to test the closures`);
  });
});
