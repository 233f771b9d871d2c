import { deepEqual, equal } from 'node:assert/strict';
import {
  afterEach, beforeEach, describe, it,
} from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { toId } from '../../src/lib/ids.ts';
import type { HostListEntry } from '../../src/platform/HostListEntry.ts';
import { HttpHostListClient } from '../../src/platform/HttpHostListClient.ts';
import type { PlatformFault } from '../../standins/PlatformFault.ts';
import { PlatformStandin, type PlatformStandinOptions } from '../../standins/PlatformStandin.ts';

const POLL_MS = 5;
/** Timeout for calls that are answered, long enough for a busy machine. */
const PATIENT_TIMEOUT_MS = 30_000;
/** Timeout for calls that are never answered. */
const SHORT_TIMEOUT_MS = 100;

function createEntry(hostId: string, isLeaving = false): HostListEntry {
  return {
    hostId: toId(hostId),
    incarnationId: toId(`${hostId}-incarnation`),
    failureDomainId: toId('domain-a'),
    peerAddress: '127.0.0.1:7000',
    isLeaving,
  };
}

describe('the host list', () => {
  let platform: PlatformStandin;
  let client: HttpHostListClient;

  async function start(
    options: Partial<PlatformStandinOptions>,
    timeoutMs = PATIENT_TIMEOUT_MS,
  ): Promise<void> {
    platform = await PlatformStandin.create(options);
    client = new HttpHostListClient({ url: platform.url, timeoutMs });
  }

  async function readUntil(length: number): Promise<readonly HostListEntry[]> {
    const hosts = await client.read();
    if (hosts?.length === length) {
      return hosts;
    }
    await sleep(POLL_MS);
    return readUntil(length);
  }

  beforeEach(() => start({ hostListLagMs: 0 }));

  afterEach(async () => {
    await client.close();
    await platform.close();
  });

  it('lists registered hosts with their latest entries', async () => {
    equal(await client.register(createEntry('entry-1')), true);
    equal(await client.register(createEntry('entry-2')), true);
    equal(await client.register(createEntry('entry-2', true)), true);
    deepEqual(await client.read(), [createEntry('entry-1'), createEntry('entry-2', true)]);
  });

  it('removes a host that deregisters', async () => {
    await client.register(createEntry('entry-1'));
    equal(await client.deregister(toId('entry-1')), true);
    deepEqual(await client.read(), []);
  });

  it('lists a new host after its delay', async () => {
    await Promise.all([client.close(), platform.close()]);
    await start({ hostListLagMs: 200 });
    await client.register(createEntry('entry-1'));
    deepEqual(await client.read(), []);
    deepEqual(await readUntil(1), [createEntry('entry-1')]);
  });

  it('removes a host that does not renew its registration', async () => {
    await Promise.all([client.close(), platform.close()]);
    await start({ hostListLagMs: 0, hostTtlMs: 50 });
    await client.register(createEntry('entry-1'));
    deepEqual(await readUntil(0), []);
  });

  const faults: PlatformFault[] = [{ kind: 'refuse' }, { kind: 'cut' }, { kind: 'freeze' }];
  faults.forEach((fault) => {
    it(`reports failed reads and registrations under ${fault.kind}`, async () => {
      await Promise.all([client.close(), platform.close()]);
      await start({ hostListLagMs: 0 }, SHORT_TIMEOUT_MS);
      platform.applyFault(fault);
      equal(await client.read(), null);
      equal(await client.register(createEntry('entry-1')), false);
    });
  });
});
