import { equal } from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { pino } from 'pino';
import { createHostChange } from '../../test/support/createHostChange.ts';
import { Directory } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import {
  toId, type HostId, type PoolId, type UpstreamId,
} from '../lib/ids.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { LimitCoordinators, TAKEOVER_DELAY_MS } from './LimitCoordinators.ts';

const UPSTREAM: UpstreamEntry = {
  id: toId<UpstreamId>('u'),
  startedAtMs: 1,
  poolId: toId<PoolId>('pool'),
  address: 'u:1',
  failureDomain: 'a',
  isDraining: false,
  slots: 1,
  coldRemainingMs: 0,
};

describe('RateKeepers', () => {
  let clock: ManualClock;
  let directory: Directory;
  let isRegistered: boolean;
  let keepers: LimitCoordinators;

  /** Lets time pass while the store confirms what is known. */
  function pass(durationMs: number): void {
    clock.advance(durationMs);
    directory.recordConfirmation();
  }

  beforeEach(async () => {
    clock = new ManualClock();
    directory = new Directory(clock);
    isRegistered = true;
    keepers = new LimitCoordinators({
      clock,
      hostId: toId<HostId>('own'),
      directory,
      isRegistered: () => isRegistered,
      logger: pino({ level: 'silent' }),
    });
    directory.apply(createHostChange('own', { registeredRevision: 2 }));
    await Promise.resolve();
  });

  it('has the host keep the sum that is there for longest, once it has settled', () => {
    pass(TAKEOVER_DELAY_MS - 1);
    equal(keepers.isCoordinatedHere(UPSTREAM), false);
    pass(1);
    equal(keepers.isCoordinatedHere(UPSTREAM), true);
    directory.apply(createHostChange('older', { registeredRevision: 1 }));
    equal(keepers.isCoordinatedHere(UPSTREAM), false);
    equal(keepers.getCoordinator(UPSTREAM)?.id, 'older');
  });

  it('settles anew where the duty comes back', async () => {
    pass(TAKEOVER_DELAY_MS);
    equal(keepers.isCoordinatedHere(UPSTREAM), true);
    directory.apply(createHostChange('older', { registeredRevision: 1 }));
    await Promise.resolve();
    directory.apply({ kind: 'hostGone', hostId: toId<HostId>('older') });
    equal(keepers.isCoordinatedHere(UPSTREAM), false);
    pass(TAKEOVER_DELAY_MS);
    equal(keepers.isCoordinatedHere(UPSTREAM), true);
  });

  it('lays the duty down when the store does not confirm it any more', () => {
    pass(TAKEOVER_DELAY_MS);
    isRegistered = false;
    equal(keepers.isCoordinatedHere(UPSTREAM), false);
    isRegistered = true;
    equal(keepers.isCoordinatedHere(UPSTREAM), true);
    clock.advance(4_001);
    equal(keepers.isCoordinatedHere(UPSTREAM), false);
  });

  it('settles anew after the process stood still', () => {
    pass(TAKEOVER_DELAY_MS);
    equal(keepers.isCoordinatedHere(UPSTREAM), true);
    keepers.restartTakeovers();
    equal(keepers.isCoordinatedHere(UPSTREAM), false);
  });

  it('is kept by nobody where no host is known', () => {
    directory.apply({ kind: 'hostGone', hostId: toId<HostId>('own') });
    pass(TAKEOVER_DELAY_MS);
    equal(keepers.isCoordinatedHere(UPSTREAM), false);
    equal(keepers.getCoordinator(UPSTREAM), undefined);
  });
});
