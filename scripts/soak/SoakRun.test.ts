import { describe, it } from 'node:test';
import type { PlannedFault } from './SoakFault.ts';
import { SOAK_PROFILE } from './SOAK_PROFILE.ts';
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

/** The store comes back from copies, at first while all hosts are restarting. */
const STORE_COPY_RUN: SoakTestOptions = {
  ...MIXED_RUN,
  profile: SOAK_PROFILE.copies,
  plan: [
    {
      atMs: 2_500, durationMs: 900, targetNumber: 0, fault: { kind: 'storeCopy' },
    },
    {
      atMs: 2_600, durationMs: 0, targetNumber: 0, fault: { kind: 'allHosts', how: 'kill' },
    },
    {
      atMs: 5_000, durationMs: 0, targetNumber: 0, fault: { kind: 'manifest' },
    },
    {
      atMs: 5_200, durationMs: 0, targetNumber: 1, fault: { kind: 'upstream', how: 'drain' },
    },
    {
      atMs: 7_300, durationMs: 500, targetNumber: 6, fault: { kind: 'storeCopy' },
    },
    {
      atMs: 9_000, durationMs: 0, targetNumber: 2, fault: { kind: 'upstream', how: 'crash' },
    },
  ],
};

/** Upstreams that mark no ends reset connections or restart at once, and hosts are killed. */
const ENDING_RUN: SoakTestOptions = {
  ...MIXED_RUN,
  profile: SOAK_PROFILE.endings,
  plan: Array.from({ length: 12 }, (_, index): PlannedFault[] => [
    {
      atMs: 400 * index,
      durationMs: 1_000,
      targetNumber: index,
      fault: { kind: 'connection', how: 'resetAnswers', target: 'upstream' },
    },
    {
      atMs: 400 * index + 200,
      durationMs: 300,
      targetNumber: index + 5,
      fault: { kind: 'upstream', how: 'restart' },
    },
    {
      atMs: 400 * index + 300,
      durationMs: 0,
      targetNumber: index,
      fault: { kind: 'host', how: index % 4 === 0 ? 'kill' : 'reload' },
    },
  ]).flat(),
};

/** One host reaches no upstream, the others do not hear of the versions that it knows. */
const CONFIGURATION_RUN: SoakTestOptions = {
  ...MIXED_RUN,
  profile: SOAK_PROFILE.configurations,
  plan: [
    {
      atMs: 0, durationMs: 9_000, targetNumber: 0, fault: { kind: 'strandedHost' },
    },
    {
      atMs: 1_500,
      durationMs: 7_500,
      targetNumber: 1,
      fault: { kind: 'storePath', how: 'cutAnswers' },
    },
    {
      atMs: 1_500, durationMs: 4_500, targetNumber: 2, fault: { kind: 'storePath', how: 'silent' },
    },
    {
      atMs: 1_600, durationMs: 0, targetNumber: 0, fault: { kind: 'manifest' },
    },
    {
      atMs: 5_500, durationMs: 0, targetNumber: 0, fault: { kind: 'manifest' },
    },
  ],
};

describe('SoakRun', () => {
  it('decides by no older configuration than the host that was asked has', async () => {
    await checkSoakRun(CONFIGURATION_RUN, NETWORK);
  });

  it('stops sending requests that crash their upstreams', async () => {
    await checkSoakRun(CRASHING_RUN, NETWORK);
  });

  it('serves requests that ran on upstreams which crashed for other reasons', async () => {
    await checkSoakRun(UPSTREAM_CRASH_RUN, NETWORK);
  });

  it('takes no answer that ended early for whole, without marks at their ends', async () => {
    await checkSoakRun(ENDING_RUN, NETWORK);
  });

  const runs = [
    MIXED_RUN, STORE_COPY_RUN, ...REGRESSION_RUNS.filter(({ isShort }) => isShort),
  ];
  runs.forEach((options) => {
    const faults = options.plan === undefined ? `seed ${options.seed}` : 'a plan';
    it(`keeps all promises under the ${options.profile} faults of ${faults}`, async () => {
      await checkSoakRun(options, NETWORK);
    });
  });
});
