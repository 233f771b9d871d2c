import { ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { MIXED_RUN, checkSoakRun, type SoakTestRun } from '../../test/support/checkSoakRun.ts';
import { SOAK_POOLS } from './createSoakManifest.ts';
import type { PlannedFault } from './createSoakPlan.ts';
import type { SoakRun } from './SoakRun.ts';

/** A loopback network of its own for each test process; `SoakRun.test.ts` has those below. */
const NETWORK = 224 + (process.pid % 16);

/** Time in which an upstream is back at its part of the load after it has lifted its limit. */
const MAX_RECOVERY_MS = 5_000;
/** Part of the limits that has to be used where all upstreams of a pool name one. */
const MIN_USED_FRACTION = 0.6;

function createRun(fault: PlannedFault['fault'], isOneSided = false): SoakTestRun {
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

/** Checks that what the upstreams of a pool take together is used. */
function checkLimitUse(run: SoakRun): void {
  const reports = run.getLimits();
  Object.values(SOAK_POOLS).filter((pool) => pool !== SOAK_POOLS.stage).forEach((pool) => {
    const parts = reports.filter(({ service }) => service === pool)
      .map(({ usedPart }) => usedPart ?? 0);
    const mean = parts.reduce((sum, part) => sum + part, 0) / parts.length;
    ok(mean >= MIN_USED_FRACTION, `${pool}: ${parts.join(' ')}`);
  });
}

describe('SoakRun with upstreams that name limits', () => {
  it('sends an upstream no more than its limit, and its part once that is lifted', async () => {
    const run = await checkSoakRun(createRun({
      kind: 'limit', scope: 'oneOfEachPool', requestsPerSecond: 1,
    }), NETWORK);
    run.getLimits().filter(({ service }) => service !== SOAK_POOLS.stage).forEach((report) => {
      ok((report.backAfterMs ?? Infinity) <= MAX_RECOVERY_MS, JSON.stringify(report));
    });
  });

  [false, true].forEach((isOneSided) => {
    const who = isOneSided ? 'one host' : 'all hosts';
    it(`uses the limits that all upstreams name, with callers at ${who}`, async () => {
      checkLimitUse(await checkSoakRun(createRun({
        kind: 'limit', scope: 'all', requestsPerSecond: 2,
      }, isOneSided), NETWORK));
    });
  });
});
