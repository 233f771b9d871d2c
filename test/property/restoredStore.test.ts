import { deepEqual, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { SeededRandomSource } from '../../src/lib/SeededRandomSource.ts';
import { RestoredStoreModel } from './RestoredStoreModel.ts';

const HOST_COUNT = 8;
const STEPS = 60;
const QUIET_MS = 20_000;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

interface FleetOptions {
  readonly seed: number;
  readonly isRelayed: boolean;
  readonly namesEra?: boolean;
}

/** Runs a fleet under changes and faults, with a store that comes back from copies. */
async function runFleet({ seed, isRelayed, namesEra = true }: FleetOptions): Promise<string[]> {
  const random = new SeededRandomSource(seed);
  const model = new RestoredStoreModel(random, HOST_COUNT, isRelayed);
  model.store.namesEra = namesEra;
  model.writeConfiguration();
  Array.from({ length: 6 }, () => model.addUpstream());
  model.start();
  await model.advance(3_000);
  const actions = [
    () => model.writeConfiguration(),
    () => model.addUpstream(),
    () => model.drainUpstream(),
    () => model.endUpstream(),
    () => model.toggleDomain(),
    () => model.restartHost(),
    () => model.cutPeers(),
    () => model.restoreStore(),
  ];
  for (let step = 0; step < STEPS; step += 1) {
    actions[Math.floor(random.getFraction() * actions.length)]?.();
    // eslint-disable-next-line no-await-in-loop -- one step after the other
    await model.advance(100 + random.getFraction() * 1_400);
  }
  await model.advance(QUIET_MS);
  model.checkConverged();
  model.stop();
  deepEqual(model.errors, []);
  return model.violations;
}

describe('a fleet whose store comes back from older copies', () => {
  [false, true].forEach((isRelayed) => SEEDS.forEach((seed) => {
    const source = isRelayed ? 'readers' : 'the store';
    it(`forgets nothing and ends with what is true, by ${source}, seed ${seed}`, async () => {
      deepEqual(await runFleet({ seed, isRelayed }), []);
    });
  }));

  it('breaks these promises when the era is not known', async () => {
    const runs = await Promise.all(SEEDS.map((seed) => (
      runFleet({ seed, isRelayed: false, namesEra: false }))));
    const found = runs.flat();
    ok(found.some((text) => text.includes('again')), 'no upstream came back into use');
    ok(found.some((text) => text.includes('instead of')), 'every host ended with what is true');
  });
});
