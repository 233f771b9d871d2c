import { ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { MIXED_RUN, checkSoakRun, type SoakTestOptions } from '../../test/support/checkSoakRun.ts';
import { SOAK_POOLS } from './createSoakManifest.ts';
import type { PlannedFault } from './SoakFault.ts';
import type { SoakRun } from './SoakRun.ts';

/** A loopback network of its own for each test process; `SoakRun.test.ts` uses lower numbers. */
const NETWORK = 224 + (process.pid % 16);

/** Time after the end of its limit in which an upstream has to get its share of the load. */
const MAX_RECOVERY_MS = 5_000;
/** Fraction of the limits that has to be used if all upstreams of a pool advertise one. */
const MIN_USED_FRACTION = 0.6;

function createRun(fault: PlannedFault['fault'], isOneSided = false): SoakTestOptions {
  return {
    ...MIXED_RUN,
    hostCount: 6,
    requestsPerSecond: 8,
    callerRetries: 0,
    isOneSided,
    plan: [{
      atMs: 0, durationMs: 10_000, targetNumber: 0, fault,
    }],
  };
}

/** Checks that the limits of each pool's upstreams are used to the required fraction. */
function checkLimitUse(run: SoakRun): void {
  const reports = run.getLimits();
  Object.values(SOAK_POOLS).filter((pool) => pool !== SOAK_POOLS.stage).forEach((pool) => {
    const parts = reports.filter(({ service }) => service === pool)
      .map(({ usedPart }) => usedPart ?? 0);
    const mean = parts.reduce((sum, part) => sum + part, 0) / parts.length;
    ok(mean >= MIN_USED_FRACTION, `${pool}: ${parts.join(' ')}`);
  });
}

describe('SoakRun with upstreams that advertise limits', () => {
  it('keeps to the limit of an upstream, and restores its load after the limit ends', async () => {
    const run = await checkSoakRun(createRun({
      kind: 'limit', scope: 'oneOfEachPool', requestsPerSecond: 1,
    }), NETWORK);
    run.getLimits().filter(({ service }) => service !== SOAK_POOLS.stage).forEach((report) => {
      ok((report.backAfterMs ?? Infinity) <= MAX_RECOVERY_MS, JSON.stringify(report));
    });
  });

  [false, true].forEach((isOneSided) => {
    const hosts = isOneSided ? 'one host' : 'all hosts';
    it(`uses the limits of all upstreams when callers send to ${hosts}`, async () => {
      checkLimitUse(await checkSoakRun(createRun({
        kind: 'limit', scope: 'all', requestsPerSecond: 2,
      }, isOneSided), NETWORK));
    });
  });
});
