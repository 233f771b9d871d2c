import {
  deepEqual, equal, match, ok,
} from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import {
  after, before, describe, it,
} from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { EXIT_CODE, type ExitCode } from '../../src/cli/EXIT_CODE.ts';
import { runCli } from '../../src/cli/runCli.ts';
import type { HostStatus } from '../../src/operators/HostStatus.ts';
import { EntryHost } from '../../src/serve/EntryHost.ts';
import { EmbeddedDeployment } from '../../standins/deployments/EmbeddedDeployment.ts';
import { getCallerKey } from '../../standins/deployments/getCallerKey.ts';
import { MIDLANDS_DEPLOYMENT } from '../../standins/deployments/MIDLANDS_DEPLOYMENT.ts';
import { FakeCliIo } from '../support/FakeCliIo.ts';

const OPERATOR_KEY = 'operator-key';
const [DOMAIN] = MIDLANDS_DEPLOYMENT.failureDomainIds;
const ACCOUNT_ID = MIDLANDS_DEPLOYMENT.accounts[0]?.id ?? '';

interface CliResult {
  readonly exitCode: ExitCode;
  readonly out: string;
  readonly errors: string;
}

let deployment: EmbeddedDeployment;
let hosts: EntryHost[] = [];
let folder = '';

function startHost(hostId: string): Promise<EntryHost> {
  return EntryHost.create({
    settings: {
      hostId,
      failureDomainId: DOMAIN ?? '',
      http: { host: '127.0.0.1', port: 0 },
      peers: { host: '127.0.0.1', port: 0 },
      platformUrl: deployment.platform.url,
      operatorKey: { env: 'UNUSED' },
      logLevel: 'error',
    },
    operatorKey: OPERATOR_KEY,
    peerKey: null,
  });
}

async function runAt(
  host: EntryHost,
  args: readonly string[],
  answers: string[] = [],
): Promise<CliResult> {
  const io = new FakeCliIo({
    PARSLEYLIFT_HOST: host.httpUrl, PARSLEYLIFT_OPERATOR_KEY: OPERATOR_KEY,
  }, answers);
  const programs = { serveHost: () => Promise.reject(new Error('not used')) };
  const exitCode = await runCli(args, { io, programs });
  return { exitCode, out: io.out, errors: io.errors };
}

async function getStatus(host: EntryHost): Promise<HostStatus> {
  const { out } = await runAt(host, ['status', '--json']);
  return JSON.parse(out) as HostStatus;
}

async function waitFor(check: () => Promise<boolean>): Promise<void> {
  for (let round = 0; round < 200; round += 1) {
    // eslint-disable-next-line no-await-in-loop -- polls one check after the other
    if (await check()) {
      return;
    }
    // eslint-disable-next-line no-await-in-loop -- as above
    await sleep(25);
  }
  throw new Error('The condition did not become true within 200 checks');
}

async function waitForVersion(version: number): Promise<void> {
  await waitFor(async () => {
    const statuses = await Promise.all(hosts.map(getStatus));
    return statuses.every((status) => status.configurationVersion >= version);
  });
}

async function propose(host: EntryHost, intent: string): Promise<string> {
  const file = join(folder, 'intent.yaml');
  writeFileSync(file, intent);
  const { out, exitCode } = await runAt(host, ['plan', file, '--json']);
  equal(exitCode, EXIT_CODE.ok);
  return (JSON.parse(out) as { planId: string }).planId;
}

async function submit(host: EntryHost): Promise<{ requestId: string; statusCode: number }> {
  const response = await fetch(`${host.httpUrl}/v1/pipelines/seat-enquiry/requests`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${getCallerKey(ACCOUNT_ID)}`, 'content-type': 'application/json',
    },
    body: JSON.stringify({ input: 'Which seats are free?' }),
  });
  const { requestId } = await response.json() as { requestId: string };
  return { requestId, statusCode: response.status };
}

describe('operators against running hosts', () => {
  before(async () => {
    folder = mkdtempSync(join(tmpdir(), 'parsleylift-'));
    deployment = await EmbeddedDeployment.create(MIDLANDS_DEPLOYMENT, { warmupMs: 0 });
    await deployment.putConfiguration();
    hosts = await Promise.all([startHost('entry-a1'), startHost('entry-a2')]);
    await waitForVersion(1);
  });

  after(async () => {
    hosts.forEach((host) => host.stop());
    await Promise.all(hosts.map((host) => host.stopped));
    await deployment.close();
    rmSync(folder, { recursive: true });
  });

  it('drains an upstream at each host after the plan is confirmed', async () => {
    const [first] = hosts;
    ok(first);
    const { version } = await getStatus(first)
      .then((status) => ({ version: status.configurationVersion }));
    const result = await runAt(first, ['drain', 'upstream', 'encoder-1'], ['y']);
    deepEqual([result.exitCode, result.errors], [EXIT_CODE.ok, '']);
    match(result.out, /changes:\n {2}drain upstream encoder-1\n/);
    match(result.out, new RegExp(`accepted as configuration version ${version + 1}\n`));
    await waitForVersion(version + 1);
    const statuses = await Promise.all(hosts.map(getStatus));
    statuses.forEach((status) => {
      deepEqual(status.drains, [{ kind: 'upstream', id: 'encoder-1' }]);
    });
    equal((await runAt(first, ['restore', 'upstream', 'encoder-1', '--yes'])).exitCode, 0);
  });

  it('changes nothing without a confirmation', async () => {
    const [first] = hosts;
    ok(first);
    const { configurationVersion } = await getStatus(first);
    const asked = await runAt(first, ['drain', 'upstream', 'encoder-1'], ['n']);
    const piped = await runAt(first, ['drain', 'upstream', 'encoder-1']);
    [asked, piped].forEach(({ exitCode, errors }) => {
      equal(exitCode, EXIT_CODE.failed);
      match(errors, /not confirmed; parsleylift confirm [0-9a-f]{32}/);
    });
    equal((await getStatus(first)).configurationVersion, configurationVersion);
  });

  it('reports a conflict with its cure and does not confirm', async () => {
    const [first] = hosts;
    ok(first);
    const { exitCode, errors } = await runAt(first, ['drain', 'upstream', 'encoder', '--yes']);
    equal(exitCode, EXIT_CODE.conflict);
    match(errors, /upstream encoder does not exist; did you mean encoder-1\?/);
  });

  it('applies one of two concurrent plans and reports it to the other operator', async () => {
    const plans = await Promise.all(hosts.map((host, index) => propose(
      host,
      `drain: [{ kind: upstream, id: encoder-${index + 1} }]`,
    )));
    const results = await Promise.all(hosts.map((host, index) => runAt(
      host,
      ['confirm', plans[index] ?? '', '--json'],
    )));
    const exitCodes = results.map(({ exitCode }) => exitCode).sort();
    deepEqual(exitCodes, [EXIT_CODE.ok, EXIT_CODE.conflict]);
    const lost = results.find(({ exitCode }) => exitCode === EXIT_CODE.conflict);
    match(lost?.errors ?? '', /Nothing was applied.*drain upstream encoder-/);
    const winner = results.findIndex(({ exitCode }) => exitCode === EXIT_CODE.ok);
    const id = `encoder-${winner + 1}`;
    await Promise.all(hosts.map((host) => waitFor(async () => (
      (await getStatus(host)).drains.some((drain) => drain.id === id)))));
    equal((await runAt(hosts[0]!, ['restore', 'upstream', id, '--yes'])).exitCode, EXIT_CODE.ok);
  });

  it('returns the same result at each host after the platform lost its answer', async () => {
    const [first, second] = hosts;
    ok(first && second);
    const planId = await propose(first, 'drain: [{ kind: upstream, id: encoder-2 }]');
    deployment.platform.applyFault({ kind: 'loseAnswer', times: 1 });
    const results = [
      await runAt(first, ['confirm', planId, '--json']),
      await runAt(first, ['confirm', planId, '--json']),
      await runAt(second, ['confirm', planId, '--json']),
    ];
    deepEqual(results.map(({ exitCode }) => exitCode), [0, 0, 0]);
    const versions = results.map(({ out }) => (JSON.parse(out) as { version: number }).version);
    equal(new Set(versions).size, 1);
    equal((await runAt(second, ['restore', 'upstream', 'encoder-2', '--yes'])).exitCode, 0);
  });

  it('confirms nothing while the platform refuses, and reports it', async () => {
    const [first] = hosts;
    ok(first);
    const planId = await propose(first, 'drain: [{ kind: upstream, id: encoder-2 }]');
    deployment.platform.applyFault({ kind: 'refuse' });
    const refused = await runAt(first, ['confirm', planId]);
    deployment.platform.applyFault({ kind: 'none' });
    equal(refused.exitCode, EXIT_CODE.unavailable);
    match(refused.errors, /Nothing was changed/);
    deepEqual((await getStatus(first)).drains, []);
  });

  it('sends no new work to a drained failure domain and explains each request', async () => {
    const [first] = hosts;
    ok(first);
    const { configurationVersion } = await getStatus(first);
    const drained = MIDLANDS_DEPLOYMENT.failureDomainIds[1] ?? '';
    const result = await runAt(first, ['drain', 'failure-domain', drained, '--yes']);
    equal(result.exitCode, EXIT_CODE.ok, result.errors);
    await waitForVersion(configurationVersion + 1);
    const upstreamIds = deployment.configuration.upstreams
      .filter(({ failureDomainId }) => failureDomainId === drained)
      .map(({ id }) => id);
    const requests = await Promise.all(Array.from({ length: 12 }, () => submit(first)));
    deepEqual([...new Set(requests.map(({ statusCode }) => statusCode))], [200]);
    const explanations = await Promise.all(requests.map(async ({ requestId }) => {
      const explained = await runAt(first, ['explain', requestId]);
      equal(explained.exitCode, EXIT_CODE.ok, explained.errors);
      return explained.out;
    }));
    explanations.forEach((text) => {
      match(text, /pipeline seat-enquiry: completed/);
      upstreamIds.forEach((id) => ok(!new RegExp(`\\b${id}\\b`).test(text), text));
    });
    equal((await runAt(first, ['restore', 'failure-domain', drained, '--yes'])).exitCode, 0);
  });

  it('drains a host, which then is not ready, and restores it', async () => {
    const [first, second] = hosts;
    ok(first && second);
    const isSecondReady = async (): Promise<boolean> => (
      (await fetch(`${second.httpUrl}/readyz`)).status === 200);
    await waitFor(async () => (await getStatus(first)).members.length === 2);
    const drained = await runAt(first, ['drain', 'host', 'entry-a2', '--yes', '--wait']);
    equal(drained.exitCode, EXIT_CODE.ok, drained.errors);
    match(drained.out, /host entry-a2: accepts no new requests/);
    match(drained.out, /in force on 2 of 2 hosts\n/);
    await waitFor(async () => !await isSecondReady());
    const restored = await runAt(first, ['restore', 'host', 'entry-a2', '--yes']);
    equal(restored.exitCode, EXIT_CODE.ok, restored.errors);
    await waitFor(isSecondReady);
  });

  it('reports the state of each upstream that the host knows', async () => {
    const [first] = hosts;
    ok(first);
    const { pools } = await getStatus(first);
    equal(pools.length, MIDLANDS_DEPLOYMENT.pools.length);
    const states = pools.flatMap(({ upstreams }) => upstreams.map(({ state }) => state));
    ok(states.every((state) => /^(cold|warming|warm|draining|gone)$/.test(state)), states.join());
  });

  it('exports the metrics that alerts use', async () => {
    const [first] = hosts;
    ok(first);
    const headers = { authorization: `Bearer ${OPERATOR_KEY}` };
    const metrics = await (await fetch(`${first.httpUrl}/metrics`, { headers })).text();
    match(metrics, /^parsleylift_ready 1$/m);
    match(metrics, /^parsleylift_platform_reachable 1$/m);
    match(metrics, /^parsleylift_configuration_version [1-9]/m);
    match(metrics, /^parsleylift_members\{state="alive"\} 2$/m);
    match(metrics, /^parsleylift_upstreams\{pool="encoder",state="warm"\} [123]$/m);
  });

  it('reports the same total cost by stage and by account', async () => {
    const [first] = hosts;
    ok(first);
    await submit(first);
    const totals = await Promise.all(['stage', 'account'].map(async (by) => {
      const { out } = await runAt(first, ['cost', '--by', by, '--json']);
      return (JSON.parse(out) as { totalMicros: number }).totalMicros;
    }));
    equal(totals[0], totals[1]);
    ok((totals[0] ?? 0) > 0);
  });

  it('serves the status page only to a browser with the operator key', async () => {
    const [first] = hosts;
    ok(first);
    const url = `${first.httpUrl}/operator/status`;
    equal((await fetch(url)).status, 401);
    const authorization = `Basic ${Buffer.from(`me:${OPERATOR_KEY}`).toString('base64')}`;
    const response = await fetch(url, { headers: { authorization } });
    match(await response.text(), /<h2>Pools<\/h2>/);
  });
});
