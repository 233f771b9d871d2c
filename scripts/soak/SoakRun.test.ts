import { deepEqual, ok } from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import type { RepeatBounds } from './RepeatBounds.ts';
import { SOAK_PROFILE } from './createSoakPlan.ts';
import { SoakRun } from './SoakRun.ts';

/** Seeds that ever failed, each with its cause; they are run again here. */
const REGRESSION_SEEDS: readonly number[] = [];
const SEEDS = [101, ...REGRESSION_SEEDS];
/** A loopback network of its own for each test process. */
const NETWORK = 192 + (process.pid % 32);

const BOUNDS: RepeatBounds = { ratio: 0.2, slack: 50, windowMs: 10_000 };

describe('SoakRun', () => {
  SEEDS.forEach((seed) => {
    it(`keeps the promises under the faults of seed ${seed}`, async () => {
      const folder = mkdtempSync(join(tmpdir(), 'parsleylift-soak-'));
      const run = new SoakRun({
        seed,
        hostCount: 3,
        requestsPerSecond: 10,
        callerRetries: 1,
        bounds: BOUNDS,
        profile: SOAK_PROFILE.all,
        faultMs: 4_000,
        calmMs: 7_500,
        folder,
        network: NETWORK,
      });
      deepEqual(await run.run(), []);
      ok(run.servedCount > 0);
      rmSync(folder, { recursive: true });
    });
  });
});
