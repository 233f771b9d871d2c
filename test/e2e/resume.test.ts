import { deepEqual, equal } from 'node:assert/strict';
import {
  after, before, describe, it,
} from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { waitUntilReady } from '../../scripts/waitUntilReady.ts';
import { EntryHost } from '../../src/serve/EntryHost.ts';
import { EmbeddedDeployment } from '../../standins/deployments/EmbeddedDeployment.ts';
import { getCallerKey } from '../../standins/deployments/getCallerKey.ts';
import { MIDLANDS_DEPLOYMENT } from '../../standins/deployments/MIDLANDS_DEPLOYMENT.ts';

const ACCOUNT_ID = MIDLANDS_DEPLOYMENT.accounts[0]?.id ?? '';
const OTHER_ACCOUNT_ID = MIDLANDS_DEPLOYMENT.accounts[1]?.id ?? '';
const POLL_MS = 25;

interface Answer {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

describe('answers across entry hosts', () => {
  let deployment: EmbeddedDeployment;
  let hosts: EntryHost[] = [];

  async function call(
    method: 'GET' | 'POST',
    url: string,
    accountId = ACCOUNT_ID,
    body?: object,
    key?: string,
  ): Promise<Answer> {
    const response = await request(url, {
      method,
      headers: {
        authorization: `Bearer ${getCallerKey(accountId)}`,
        ...(body === undefined ? {} : { 'content-type': 'application/json' }),
        ...(key === undefined ? {} : { 'idempotency-key': key }),
      },
      body: body === undefined ? null : JSON.stringify(body),
    });
    return {
      status: response.statusCode, body: await response.body.json() as Record<string, unknown>,
    };
  }

  async function waitForMembers(host: EntryHost): Promise<void> {
    if (host.memberCount < hosts.length) {
      await sleep(POLL_MS);
      await waitForMembers(host);
    }
  }

  before(async () => {
    deployment = await EmbeddedDeployment.create(MIDLANDS_DEPLOYMENT, { warmupMs: 0 });
    await deployment.putConfiguration();
    hosts = await Promise.all(MIDLANDS_DEPLOYMENT.failureDomainIds.slice(0, 2)
      .map((failureDomainId, index) => EntryHost.create({
        settings: {
          hostId: `entry-${index}`,
          failureDomainId,
          http: { host: '127.0.0.1', port: 0 },
          peers: { host: '127.0.0.1', port: 0 },
          platformUrl: deployment.platform.url,
          operatorKey: { env: 'UNUSED' },
          logLevel: 'error',
        },
        operatorKey: 'operator-key',
        peerKey: null,
      })));
    await Promise.all(hosts.map(({ httpUrl }) => waitUntilReady(httpUrl)));
    await Promise.all(hosts.map(waitForMembers));
  });

  after(async () => {
    hosts.forEach((host) => host.stop());
    await Promise.all(hosts.map(({ stopped }) => stopped));
    await deployment.close();
  });

  it('returns at one host the answer of a request that another host accepted', async () => {
    const [first, second] = hosts.map(({ httpUrl }) => httpUrl);
    const accepted = await call('POST', `${first}/v1/pipelines/seat-enquiry/requests`, ACCOUNT_ID, {
      input: 'Which seats are free?',
    });
    equal(accepted.status, 200, JSON.stringify(accepted.body));
    const url = `${second}/v1/requests/${String(accepted.body.requestId)}`;
    deepEqual(await call('GET', url), accepted);
    const other = await call('GET', url, OTHER_ACCOUNT_ID);
    deepEqual([other.status, other.body.code], [404, 'request-unknown']);
  });

  it('returns the recorded answer to a retry at another host, and runs the call once', async () => {
    const answers = await Promise.all(hosts.map(({ httpUrl }) => (
      call('POST', `${httpUrl}/v1/pipelines/seat-confirmation/requests`, ACCOUNT_ID, {
        input: 'Seat D2 for R. Levi',
      }, 'key-d2'))));
    deepEqual(answers.map(({ status }) => status), [200, 200]);
    equal(answers[0]?.body.output, answers[1]?.body.output);
    const counts = await Promise.all([...deployment.upstreams]
      .filter(([upstreamId]) => upstreamId.startsWith('seat-ledger'))
      .map(([, standin]) => standin.server.counts.getReport().executionCount));
    equal(counts.reduce((sum, count) => sum + count, 0), 1);
  });

  it('serves a ticket at the host that issued it while the platform is down', async () => {
    const [first] = hosts.map(({ httpUrl }) => httpUrl);
    const issued = await call('POST', `${first}/v1/tickets`);
    deployment.platform.applyFault({ kind: 'refuse' });
    const body = { input: 'Seat E5 for S. Cohen' };
    const url = `${first}/v1/pipelines/seat-confirmation/requests`;
    const served = await call('POST', url, ACCOUNT_ID, body, String(issued.body.ticket));
    const own = await call('POST', url, ACCOUNT_ID, body, 'key-e5');
    deployment.platform.applyFault({ kind: 'none' });
    equal(served.status, 200);
    deepEqual([own.status, own.body.code], [503, 'claim-unavailable']);
  });
});
