import { deepEqual, ok } from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { REGRESSION_RUNS } from './REGRESSION_RUNS.ts';
import { SOAK_POOLS } from './createSoakManifest.ts';
import { SOAK_PROFILE } from './createSoakPlan.ts';
import { SoakRun, type SoakRunOptions } from './SoakRun.ts';

/** A loopback network of its own for each test process. */
const NETWORK = 192 + (process.pid % 32);

const MIXED_RUN: Omit<SoakRunOptions, 'folder' | 'network'> = {
  seed: 101,
  hostCount: 3,
  requestsPerSecond: 10,
  callerRetries: 1,
  bounds: { ratio: 0.2, slack: 50, windowMs: 10_000 },
  profile: SOAK_PROFILE.all,
  isCrashing: false,
  faultMs: 4_000,
  calmMs: 7_500,
};

/** Calm but for requests that end whatever runs them, for long enough to know them. */
const CRASHING_RUN: Omit<SoakRunOptions, 'folder' | 'network'> = {
  ...MIXED_RUN, plan: [], isCrashing: true, calmMs: 18_000,
};

/** All callers send the same bodies all the time, and nine upstreams end by themselves. */
const ENDING_RUN: Omit<SoakRunOptions, 'folder' | 'network'> = {
  ...MIXED_RUN,
  plan: Array.from({ length: 9 }, (_, index) => ({
    atMs: 600 * index, durationMs: 0, pick: index, fault: { kind: 'upstream', how: 'crash' },
  })),
};

const LIMITED_RUN: Omit<SoakRunOptions, 'folder' | 'network'> = {
  ...MIXED_RUN,
  hostCount: 6,
  requestsPerSecond: 8,
  callerRetries: 0,
  plan: [{
    atMs: 0,
    durationMs: 10_000,
    pick: 0,
    fault: { kind: 'limit', scope: 'oneOfEachPool', requestsPerSecond: 1 },
  }],
};

/** Time in which an upstream is back at its part of the load after it has lifted its limit. */
const MAX_BACK_MS = 5_000;
/** Part of the limits that has to be used where all upstreams of a pool name one. */
const MIN_USED_PART = 0.6;

async function checkRun(options: Omit<SoakRunOptions, 'folder' | 'network'>): Promise<SoakRun> {
  const folder = mkdtempSync(join(tmpdir(), 'parsleylift-soak-'));
  const run = new SoakRun({ ...options, folder, network: NETWORK });
  deepEqual(await run.run(), []);
  ok(run.servedCount > 0);
  rmSync(folder, { recursive: true });
  return run;
}

/** Checks that what the upstreams of a pool take together is used. */
function checkUse(run: SoakRun): void {
  const reports = run.getLimits();
  Object.values(SOAK_POOLS).forEach((pool) => {
    const parts = reports.filter(({ service }) => service === pool)
      .map(({ usedPart }) => usedPart ?? 0);
    const mean = parts.reduce((sum, part) => sum + part, 0) / parts.length;
    ok(pool === SOAK_POOLS.stage || mean >= MIN_USED_PART, `${pool}: ${parts.join(' ')}`);
  });
}

describe('SoakRun', () => {
  it('sends no request on and on that ends its upstreams', async () => {
    await checkRun(CRASHING_RUN);
  });

  it('sends an upstream no more than its limit, and its part once that is lifted', async () => {
    const reports = (await checkRun(LIMITED_RUN)).getLimits();
    reports.filter(({ service }) => service !== SOAK_POOLS.stage).forEach((report) => {
      ok((report.backAfterMs ?? Infinity) <= MAX_BACK_MS, JSON.stringify(report));
    });
  });

  [false, true].forEach((isOneSided) => {
    const who = isOneSided ? 'one host' : 'all hosts';
    it(`uses the limits that all upstreams name, with callers at ${who}`, async () => {
      checkUse(await checkRun({
        ...LIMITED_RUN,
        isOneSided,
        plan: [{
          atMs: 0,
          durationMs: 10_000,
          pick: 0,
          fault: { kind: 'limit', scope: 'all', requestsPerSecond: 2 },
        }],
      }));
    });
  });

  it('serves requests that were there when upstreams ended by themselves', async () => {
    await checkRun(ENDING_RUN);
  });

  [MIXED_RUN, ...REGRESSION_RUNS.filter(({ isShort }) => isShort)].forEach((options) => {
    const faults = options.plan === undefined ? `seed ${options.seed}` : 'a plan';
    it(`keeps the promises under the ${options.profile} faults of ${faults}`, async () => {
      await checkRun(options);
    });
  });
});
