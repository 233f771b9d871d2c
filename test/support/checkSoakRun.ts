import { deepEqual, ok } from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { SOAK_PROFILE } from '../../scripts/soak/SOAK_PROFILE.ts';
import { SoakRun, type SoakRunOptions } from '../../scripts/soak/SoakRun.ts';

/** Options of a soak run, except for its folder and network on this machine. */
export type SoakTestOptions = Omit<SoakRunOptions, 'folder' | 'network'>;

/** A short soak run with all kinds of faults. */
export const MIXED_RUN: SoakTestOptions = {
  seed: 101,
  hostCount: 3,
  requestsPerSecond: 10,
  callerRetries: 1,
  bounds: { ratio: 0.2, slack: 50, windowMs: 10_000 },
  profile: SOAK_PROFILE.all,
  hasCrashingRequests: false,
  faultPeriodMs: 4_000,
  recoveryMs: 7_500,
};

/**
 * Runs the soak and fails if it breaks a promise or serves no request.
 *
 * @param options - options of the run
 * @param network - a loopback network that no other test process uses
 * @returns the run
 */
export async function checkSoakRun(options: SoakTestOptions, network: number): Promise<SoakRun> {
  const folder = mkdtempSync(join(tmpdir(), 'parsleylift-soak-'));
  const run = new SoakRun({ ...options, folder, network });
  deepEqual(await run.run(), []);
  ok(run.servedCount > 0);
  rmSync(folder, { recursive: true });
  return run;
}
