import { equal } from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { pino } from 'pino';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import { toId, type PoolId, type UpstreamId } from '../lib/ids.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { EngineLifetimes } from './EngineLifetimes.ts';

const ENTRY: UpstreamEntry = {
  id: toId<UpstreamId>('i-1'),
  poolId: toId<PoolId>('pool'),
  address: '127.0.0.1:1',
  failureDomain: 'a',
  isDraining: false,
  slots: 1,
  softwareVersion: 'v1',
  coldRemainingMs: 0,
  startedAtMs: 1,
};

describe('EngineLifetimes', () => {
  let clock: ManualClock;
  let ageMs: number | null;
  let stored: UpstreamEntry | null | Error;
  let readCount: number;
  let lifetimes: EngineLifetimes;

  beforeEach(() => {
    clock = new ManualClock();
    ageMs = 0;
    stored = ENTRY;
    readCount = 0;
    lifetimes = new EngineLifetimes({
      clock,
      directory: {
        get ageMs() {
          return ageMs;
        },
      },
      store: {
        readUpstream: async () => {
          readCount += 1;
          if (stored instanceof Error) {
            throw stored;
          }
          return stored;
        },
      },
      logger: pino({ level: 'silent' }),
    });
  });

  it('asks the store about an engine that no exchange is open with', async () => {
    equal(await lifetimes.prove(ENTRY), 'store');
  });

  it('tells an engine that started again, at the same version too', async () => {
    stored = { ...ENTRY, startedAtMs: 2 };
    equal(await lifetimes.prove(ENTRY), 'changed');
    stored = { ...ENTRY, softwareVersion: 'v2' };
    equal(await lifetimes.prove(ENTRY), 'changed');
    stored = null;
    equal(await lifetimes.prove(ENTRY), 'changed');
  });

  it('trusts an exchange that was open when the directory was confirmed', async () => {
    const contact = lifetimes.openContact(ENTRY.id);
    clock.advance(5_000);
    ageMs = 4_000;
    contact.recordData();
    stored = new Error('away');
    equal(await lifetimes.prove(ENTRY), 'exchange');
    equal(readCount, 0);
    contact.close();
    equal(await lifetimes.prove(ENTRY), 'storeUnavailable');
  });

  it('does not trust an exchange that began after the last confirmation', async () => {
    clock.advance(5_000);
    const contact = lifetimes.openContact(ENTRY.id);
    contact.recordData();
    ageMs = 4_000;
    stored = new Error('away');
    equal(await lifetimes.prove(ENTRY), 'storeUnavailable');
  });

  it('does not trust an exchange that has brought nothing of late', async () => {
    const contact = lifetimes.openContact(ENTRY.id);
    contact.recordData();
    clock.advance(1_000);
    stored = { ...ENTRY, startedAtMs: 2 };
    equal(await lifetimes.prove(ENTRY), 'changed');
  });

  it('asks a store that gave no answer again only after a while', async () => {
    stored = new Error('away');
    equal(await lifetimes.prove(ENTRY), 'storeUnavailable');
    equal(await lifetimes.prove(ENTRY), 'storeUnavailable');
    equal(readCount, 1);
    clock.advance(1_000);
    stored = ENTRY;
    equal(await lifetimes.prove(ENTRY), 'store');
  });
});
