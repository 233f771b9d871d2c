import yargs from 'yargs';
import { EntryHost } from '../src/serve/EntryHost.ts';
import { EmbeddedDeployment } from '../standins/deployments/EmbeddedDeployment.ts';
import { MIDLANDS_DEPLOYMENT } from '../standins/deployments/MIDLANDS_DEPLOYMENT.ts';
import { getCallerKey } from '../standins/deployments/getCallerKey.ts';
import { getDemoSettings } from './getDemoSettings.ts';
import { waitUntilReady } from './waitUntilReady.ts';
import { runExamples } from './runExamples.ts';

/*
 * `npm start`: serves the Midlands pipelines on loopback from one process with embedded stand-ins,
 * sends a few example requests, and continues to serve until Ctrl-C.
 */
const OPERATOR_KEY = 'operator-key-of-the-demo';
const args = await yargs(process.argv.slice(2))
  .option('once', { type: 'boolean', default: false, describe: 'exit after the examples' })
  .strict()
  .parseAsync();

const deployment = await EmbeddedDeployment.create(MIDLANDS_DEPLOYMENT);
await deployment.putConfiguration();
const host = await EntryHost.create({
  settings: getDemoSettings(deployment.platform.url), operatorKey: OPERATOR_KEY, peerKey: null,
});
const accountId = MIDLANDS_DEPLOYMENT.accounts[0]?.id ?? '';
const callerKey = getCallerKey(accountId);
await waitUntilReady(host.httpUrl);
const failedCount = await runExamples(host.httpUrl, callerKey);

console.log(`\nServing ${host.httpUrl} for client account ${accountId}. Try:`);
console.log(`  curl -s ${host.httpUrl}/v1/pipelines/seat-enquiry/requests \\
    -H 'authorization: Bearer ${callerKey}' -H 'content-type: application/json' \\
    -d '{"input":"Which seats are free in the third row?"}'`);

async function stop(): Promise<void> {
  host.stop();
  await host.stopped;
  await deployment.close();
  process.exit(failedCount === 0 ? 0 : 1);
}

if (args.once) {
  await stop();
} else {
  console.log('Press Ctrl-C to stop.');
  process.once('SIGINT', stop);
  process.once('SIGTERM', stop);
}
