import { describe, it } from 'node:test';
import { MIXED_RUN, checkSoakRun, type SoakTestOptions } from '../../test/support/checkSoakRun.ts';
import { REGRESSION_RUNS } from './REGRESSION_RUNS.ts';

/** A loopback network of its own for each test process. */
const NETWORK = 192 + (process.pid % 32);

/** No faults except requests that crash upstreams, for long enough to quarantine them. */
const CRASHING_RUN: SoakTestOptions = {
  ...MIXED_RUN, plan: [], hasCrashingRequests: true, recoveryMs: 18_000,
};

/** All callers send the same body while nine upstreams crash for other reasons. */
const UPSTREAM_CRASH_RUN: SoakTestOptions = {
  ...MIXED_RUN,
  plan: Array.from({ length: 9 }, (_, index) => ({
    atMs: 600 * index,
    durationMs: 0,
    targetNumber: index,
    fault: { kind: 'upstream', how: 'crash' },
  })),
};

describe('SoakRun', () => {
  it('stops sending requests that crash their upstreams', async () => {
    await checkSoakRun(CRASHING_RUN, NETWORK);
  });

  it('serves requests that ran on upstreams which crashed for other reasons', async () => {
    await checkSoakRun(UPSTREAM_CRASH_RUN, NETWORK);
  });

  [MIXED_RUN, ...REGRESSION_RUNS.filter(({ isShort }) => isShort)].forEach((options) => {
    const faults = options.plan === undefined ? `seed ${options.seed}` : 'a plan';
    it(`keeps all promises under the ${options.profile} faults of ${faults}`, async () => {
      await checkSoakRun(options, NETWORK);
    });
  });
});
