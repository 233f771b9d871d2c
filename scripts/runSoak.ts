import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { SoakRun, type SoakRunOptions } from './soak/SoakRun.ts';
import { REGRESSION_RUNS } from './soak/REGRESSION_RUNS.ts';
import { SOAK_PROFILE } from './soak/SOAK_PROFILE.ts';
import { formatLimits } from './soak/formatLimits.ts';
import { formatRepeats } from './soak/formatRepeats.ts';
import { readLoggedRepeats } from './soak/readLoggedRepeats.ts';

/*
 * `npm run soak -- --seeds N [--seed S] [--minutes M] [--hosts H] [--rate R] [--retries C]
 * [--slack B] [--profile all|repeats|closures|limits|copies|endings|configurations]
 * [--faults S] [--crashing] [--one-sided]`: runs entry hosts as processes on loopback and injects
 * faults. Counts repeated arrivals at each service, arrivals at upstreams that leave, ask for a
 * back-off or advertise a limit, and the upstreams that a request crashes.
 * Exits 1 if a promise was not kept, and prints the seed. `npm run soak -- --regressions` runs
 * every seed that has ever failed, with its original options.
 */
const MS_PER_MINUTE = 60_000;
const MS_PER_SECOND = 1_000;
const NS_PER_MS = 1_000_000;
const FAULT_PERIOD_S = 12;
const RECOVERY_MS = 9_000;
const RETRY_RATIO = 0.2;
const RETRY_WINDOW_MS = 10_000;
/** Loopback networks 127.64 to 127.191 have no other listeners. */
const FIRST_NETWORK = 64;
const NETWORK_COUNT = 128;

type PlannedRun = Omit<SoakRunOptions, 'folder' | 'network'>;

/** @returns whether all promises were kept */
async function runSeed(planned: PlannedRun): Promise<boolean> {
  const folder = join(tmpdir(), `parsleylift-soak-${process.pid}-${planned.seed}`);
  const network = FIRST_NETWORK + (process.pid % NETWORK_COUNT);
  const run = new SoakRun({ ...planned, folder, network });
  const stalls = monitorEventLoopDelay();
  stalls.enable();
  const violations = await run.run();
  stalls.disable();
  console.log(`seed ${planned.seed}: ${run.servedCount} of ${run.requestCount} served, `
    + `${violations.length} violations; logs in ${folder}`);
  console.log(`  probes of the configuration: ${run.probeCount}`);
  const logged = readLoggedRepeats(folder);
  run.getRepeats().forEach((report) => (
    console.log(`  ${formatRepeats(report, logged.get(report.service) ?? 0)}`)));
  run.getCrashes().forEach(({ lateArrivals, ...report }) => (
    console.log(`  crashes: ${JSON.stringify({ ...report, late: lateArrivals.length })}`)));
  console.log(`  closures: ${JSON.stringify(run.getClosures())}`);
  formatLimits(run.getLimits()).forEach((line) => console.log(`  ${line}`));
  // Upstreams and callers share this process: a stall here makes arrivals look late.
  console.log(`  longest stall of the soak process: ${Math.round(stalls.max / NS_PER_MS)} ms`);
  violations.forEach((violation) => console.log(`  ${JSON.stringify(violation)}`));
  return violations.length === 0;
}

const options = await yargs(hideBin(process.argv)).options({
  seeds: { type: 'number', default: 1, describe: 'number of seeds, run in turn' },
  seed: { type: 'number', default: 1, describe: 'the first seed' },
  minutes: { type: 'number', default: Infinity, describe: 'minutes in which seeds may begin' },
  hosts: { type: 'number', default: 4, describe: 'number of entry host processes' },
  rate: { type: 'number', default: 10, describe: 'requests per second for each host' },
  retries: { type: 'number', default: 2, describe: 'immediate retries by callers' },
  profile: {
    choices: Object.values(SOAK_PROFILE), default: SOAK_PROFILE.all, describe: 'set of faults',
  },
  faults: { type: 'number', default: FAULT_PERIOD_S, describe: 'fault period in seconds' },
  slack: { type: 'number', default: 50, describe: 'repeats allowed at any load' },
  crashing: {
    type: 'boolean', default: false, describe: 'send requests that crash the upstreams',
  },
  'one-sided': {
    type: 'boolean', default: false, describe: 'send all requests to one host',
  },
  regressions: { type: 'boolean', default: false, describe: 'run every seed that has ever failed' },
}).strict().parse();

const runs: readonly PlannedRun[] = options.regressions
  ? REGRESSION_RUNS
  : Array.from({ length: options.seeds }, (_, index) => ({
    seed: options.seed + index,
    hostCount: options.hosts,
    requestsPerSecond: options.rate,
    callerRetries: options.retries,
    bounds: { ratio: RETRY_RATIO, slack: options.slack, windowMs: RETRY_WINDOW_MS },
    profile: options.profile,
    hasCrashingRequests: options.crashing,
    isOneSided: options.oneSided,
    faultPeriodMs: options.faults * MS_PER_SECOND,
    recoveryMs: RECOVERY_MS,
  }));
const endMs = performance.now() + options.minutes * MS_PER_MINUTE;
const failedSeeds: number[] = [];
for (let index = 0; index < runs.length && performance.now() < endMs; index += 1) {
  const planned = runs[index];
  // eslint-disable-next-line no-await-in-loop -- one seed after the other, on one machine
  if (planned !== undefined && !await runSeed(planned)) {
    failedSeeds.push(planned.seed);
  }
}
const isClean = failedSeeds.length === 0;
console.log(isClean ? 'all promises were kept' : `failed seeds: ${failedSeeds.join(' ')}`);
process.exit(isClean ? 0 : 1);
