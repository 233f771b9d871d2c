import { deepEqual, equal } from 'node:assert/strict';
import {
  afterEach, beforeEach, describe, it, mock,
} from 'node:test';
import { pino } from 'pino';
import { MemoryDirectoryStore } from '../../test/support/MemoryDirectoryStore.ts';
import { toId, type HostId } from '../lib/ids.ts';
import { ManualClock } from '../time/ManualClock.ts';
import type { HostEntry } from './HostEntry.ts';
import { DEFAULT_HOST_REGISTRATION_OPTIONS, HostRegistration } from './HostRegistration.ts';
import type { RenewResult, StoreLease } from './StoreLease.ts';

const { renewEveryMs } = DEFAULT_HOST_REGISTRATION_OPTIONS;
const ENTRY: HostEntry = {
  id: toId<HostId>('own'),
  failureDomain: 'a',
  peerAddress: 'own:1',
  processorCores: 1,
  linkMbps: 1,
};

/** A store of one era; leases of another era have ended. */
class EraStore extends MemoryDirectoryStore {
  readonly calls: string[] = [];

  era = 1;

  isDown = false;

  override async createLease(): Promise<StoreLease> {
    this.#record('create');
    return { era: this.era, id: 7 };
  }

  override async renewLease({ era }: StoreLease = { era: 0, id: 0 }): Promise<RenewResult> {
    this.#record('renew');
    return era === this.era ? 'renewed' : 'ended';
  }

  override async writeHost(entry: HostEntry): Promise<RenewResult> {
    this.#record(`write ${entry.configurationVersion ?? 'none'}`);
    return 'renewed';
  }

  #record(call: string): void {
    this.calls.push(call);
    if (this.isDown) {
      throw new Error('the store is down');
    }
  }
}

describe('HostRegistration', () => {
  let store: EraStore;
  let version: number;
  let events: string[];
  let registration: HostRegistration;

  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout'] });
    store = new EraStore();
    version = 3;
    events = [];
    const logger = pino({ level: 'info' }, {
      write: (line: string) => events.push((JSON.parse(line) as { event: string }).event),
    });
    registration = new HostRegistration(
      new ManualClock(),
      store,
      () => ({ ...ENTRY, configurationVersion: version }),
      logger,
    );
  });

  afterEach(async () => {
    await registration.stop();
    mock.timers.reset();
  });

  async function settle(): Promise<void> {
    for (let turn = 0; turn < 20; turn += 1) {
      // eslint-disable-next-line no-await-in-loop -- lets pending calls end
      await Promise.resolve();
    }
  }

  it('registers anew, with what it knows now, when its lease is of an earlier era', async () => {
    await registration.start();
    store.era = 2;
    version = 5;
    registration.renewNow();
    await settle();
    deepEqual(store.calls, ['create', 'write 3', 'renew', 'create', 'write 5']);
    mock.timers.tick(renewEveryMs);
    await settle();
    equal(store.calls.at(-1), 'renew');
  });

  it('starts no second renewal while one is under way, and none when stopped', async () => {
    const starting = registration.start();
    registration.renewNow();
    await starting;
    deepEqual(store.calls, ['create', 'write 3']);
    await registration.stop();
    registration.renewNow();
    await settle();
    deepEqual(store.calls, ['create', 'write 3']);
  });

  it('logs the first of several failures in a row, and retries', async () => {
    store.isDown = true;
    await registration.start();
    mock.timers.tick(renewEveryMs);
    await settle();
    deepEqual(events, ['registrationFailed']);
    store.isDown = false;
    mock.timers.tick(renewEveryMs);
    await settle();
    deepEqual(events, ['registrationFailed', 'hostRegistered']);
  });
});
