import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import yargs from 'yargs';
import { MIDLANDS_DEPLOYMENT } from '../standins/deployments/MIDLANDS_DEPLOYMENT.ts';
import { getCallerKey } from '../standins/deployments/getCallerKey.ts';
import { Fleet, FLEET_OPERATOR_KEY } from './fleet/Fleet.ts';
import { runExamples } from './runExamples.ts';

/*
 * `npm run fleet -- --hosts 6`: runs the Midlands deployment as separate processes in three failure
 * domains, on free loopback ports. Ctrl-C stops every process.
 */
const MS_PER_SECOND = 1000;
const args = await yargs(process.argv.slice(2))
  .option('hosts', { type: 'number', default: 6, describe: 'number of entry hosts' })
  .option('seconds', { type: 'number', describe: 'stop after this time' })
  .option('once', { type: 'boolean', default: false, describe: 'exit after the examples' })
  .strict()
  .parseAsync();

/** Ends the wait; a second signal does not interrupt the shutdown. */
const interrupted = new AbortController();
['SIGINT', 'SIGTERM'].forEach((signal) => process.on(signal, () => interrupted.abort()));

console.log(`Starting ${args.hosts} entry hosts and the stand-ins of Midlands.`);
const fleet = await Fleet.create({ deployment: MIDLANDS_DEPLOYMENT, hostCount: args.hosts });
const accountId = MIDLANDS_DEPLOYMENT.accounts[0]?.id ?? '';
const callerKey = getCallerKey(accountId);
console.log(`${fleet.processCount} processes. Platform ${fleet.platformUrl}`);
fleet.hosts.forEach(({ settings, httpUrl, program }) => {
  console.log(`  ${settings.hostId}  ${settings.failureDomainId}  ${httpUrl}  pid ${program.pid}`);
});

async function runExamplesAtHosts(): Promise<number> {
  const counts = await fleet.hosts.reduce<Promise<number[]>>(
    async (earlier, host) => [...await earlier, await runExamples(host.httpUrl, callerKey)],
    Promise.resolve([]),
  );
  return counts.reduce((sum, count) => sum + count, 0);
}

function printUsage(): void {
  const httpUrl = fleet.hosts[0]?.httpUrl ?? '';
  console.log(`\nTry, as client account ${accountId}:
  curl -s ${httpUrl}/v1/pipelines/seat-enquiry/requests \\
    -H 'authorization: Bearer ${callerKey}' -H 'content-type: application/json' \\
    -d '{"input":"Which seats are free in the third row?"}'
and, as operator with the key ${FLEET_OPERATOR_KEY}:
  PARSLEYLIFT_OPERATOR_KEY=${FLEET_OPERATOR_KEY} npx tsx src/main.ts status --host ${httpUrl}
Press Ctrl-C to stop.`);
}

async function waitForShutdown(): Promise<void> {
  const { signal } = interrupted;
  const ends = [once(signal, 'abort').then(() => undefined)];
  if (args.seconds !== undefined) {
    ends.push(sleep(args.seconds * MS_PER_SECOND, undefined, { signal }).catch(() => undefined));
  }
  if (!signal.aborted) {
    await Promise.race(ends);
  }
}

let failedCount = 0;
try {
  if (args.once) {
    failedCount = await runExamplesAtHosts();
  } else {
    printUsage();
    await waitForShutdown();
  }
} finally {
  const exits = await fleet.close();
  const cleanCount = exits.filter(({ code }) => code === 0).length;
  console.log(`${cleanCount} of ${exits.length} entry hosts ended with exit code 0.`);
  console.log(`${fleet.processCount} processes left.`);
  const isSuccessful = failedCount === 0 && cleanCount === exits.length && fleet.processCount === 0;
  process.exitCode = isSuccessful ? 0 : 1;
}
