import { tmpdir } from 'node:os';
import { join } from 'node:path';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { SoakRun } from './soak/SoakRun.ts';
import { SOAK_PROFILE } from './soak/createSoakPlan.ts';
import { formatRepeats } from './soak/formatRepeats.ts';
import { readLoggedRepeats } from './soak/readLoggedRepeats.ts';

/*
 * `npm run soak -- --seeds N [--seed S] [--minutes M] [--hosts H] [--rate R] [--retries C]
 * [--slack B] [--profile all|repeats] [--faults S]`: real entry hosts as processes on loopback
 * under faults from outside. Counts what arrives at each service more than once. Exits 1 when a
 * promise was not kept, and names the seed.
 */
const MS_PER_MINUTE = 60_000;
const FAULT_S = 12;
const MS_PER_SECOND = 1_000;
const RETRY_RATIO = 0.2;
const RETRY_WINDOW_MS = 10_000;
const CALM_MS = 9_000;
/** Loopback networks 127.64 to 127.191 are free of what else may listen there. */
const FIRST_NETWORK = 64;
const NETWORK_COUNT = 128;

const options = await yargs(hideBin(process.argv)).options({
  seeds: { type: 'number', default: 1, describe: 'how many seeds, one after the other' },
  seed: { type: 'number', default: 1, describe: 'the first seed' },
  minutes: { type: 'number', default: Infinity, describe: 'begin no further seed after this' },
  hosts: { type: 'number', default: 4, describe: 'entry hosts, a process each' },
  rate: { type: 'number', default: 10, describe: 'requests a second for each host' },
  retries: { type: 'number', default: 2, describe: 'times that callers come back at once' },
  profile: {
    choices: Object.values(SOAK_PROFILE), default: SOAK_PROFILE.all, describe: 'faults drawn',
  },
  faults: { type: 'number', default: FAULT_S, describe: 'seconds in which faults begin' },
  slack: { type: 'number', default: 50, describe: 'repeats in a window at any load' },
}).strict().parse();

const startMs = performance.now();
const failedSeeds: number[] = [];
let { seed } = options;
while (
  seed < options.seed + options.seeds
  && performance.now() - startMs < options.minutes * MS_PER_MINUTE
) {
  const folder = join(tmpdir(), `parsleylift-soak-${process.pid}-${seed}`);
  const run = new SoakRun({
    seed,
    hostCount: options.hosts,
    requestsPerSecond: options.rate,
    callerRetries: options.retries,
    bounds: { ratio: RETRY_RATIO, slack: options.slack, windowMs: RETRY_WINDOW_MS },
    profile: options.profile,
    faultMs: options.faults * MS_PER_SECOND,
    calmMs: CALM_MS,
    folder,
    network: FIRST_NETWORK + (process.pid % NETWORK_COUNT),
  });
  // eslint-disable-next-line no-await-in-loop -- one seed after the other, on one machine
  const violations = await run.run();
  console.log(`seed ${seed}: ${run.servedCount} of ${run.requestCount} served, `
    + `${violations.length} violations; logs in ${folder}`);
  const logged = readLoggedRepeats(folder);
  run.getRepeats().forEach((report) => (
    console.log(`  ${formatRepeats(report, logged.get(report.service) ?? 0)}`)));
  violations.forEach((violation) => console.log(`  ${JSON.stringify(violation)}`));
  if (violations.length > 0) {
    failedSeeds.push(seed);
  }
  seed += 1;
}
const isClean = failedSeeds.length === 0;
console.log(isClean ? 'no promise was broken' : `failed seeds: ${failedSeeds.join(' ')}`);
process.exit(isClean ? 0 : 1);
