import { deepEqual, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { SeededRandomSource } from '../../src/lib/SeededRandomSource.ts';
import { MODEL_BOUNDS } from './ModelHost.ts';
import { RelayedFleetModel, type HostFault } from './RelayedFleetModel.ts';

const HOST_COUNT = 24;
const STEPS = 40;
const FAULTS: readonly HostFault[] = ['kill', 'freeze', 'cutFromStore', 'cutFromPeers'];

/** Runs a fleet under drawn troubles, most of which strike readers. */
async function runFleet(seed: number, isRelayed: boolean): Promise<RelayedFleetModel> {
  const random = new SeededRandomSource(seed);
  const model = new RelayedFleetModel(HOST_COUNT, isRelayed);
  model.start();
  await model.advance(6_000);
  for (let step = 0; step < STEPS; step += 1) {
    model.change();
    const fault = FAULTS[Math.floor(random.getFraction() * FAULTS.length)];
    if (fault !== undefined && random.getFraction() < 0.6) {
      const pick = Math.floor(random.getFraction() * HOST_COUNT);
      model.injectFault(fault, pick, random.getFraction() < 0.7, 500 + random.getFraction() * 5_000);
    }
    // eslint-disable-next-line no-await-in-loop -- one step after the other
    await model.advance(300 + random.getFraction() * 1_500);
  }
  await model.advance(6_000);
  model.stop();
  return model;
}

describe('a fleet whose hosts follow the directory from one another', () => {
  [1, 2, 3, 4].forEach((seed) => {
    it(`has each change in time at every host in touch, seed ${seed}`, async () => {
      const model = await runFleet(seed, true);
      deepEqual(model.errors, []);
      ok(model.worstLagMs > 0 && model.worstLagMs < MODEL_BOUNDS.applyMs, `${model.worstLagMs} ms`);
    });
  });

  it('asks the store a third of what hosts ask that follow it themselves', async () => {
    const relayed = await runFleet(1, true);
    const direct = await runFleet(1, false);
    const counts = `${relayed.store.callCount} and ${direct.store.callCount} calls`;
    ok(relayed.store.callCount < direct.store.callCount / 3, counts);
  });
});
