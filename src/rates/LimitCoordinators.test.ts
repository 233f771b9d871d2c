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
  softwareVersion: 'v1',
  coldRemainingMs: 0,
};

describe('LimitCoordinators', () => {
  let clock: ManualClock;
  let directory: Directory;
  let isRegistered: boolean;
  let coordinators: LimitCoordinators;

  /** Advances the clock, after which the store confirms the directory. */
  function pass(durationMs: number): void {
    clock.advance(durationMs);
    directory.recordConfirmation();
  }

  beforeEach(async () => {
    clock = new ManualClock();
    directory = new Directory(clock);
    isRegistered = true;
    coordinators = new LimitCoordinators({
      clock,
      hostId: toId<HostId>('own'),
      directory,
      isRegistered: () => isRegistered,
      logger: pino({ level: 'silent' }),
    });
    directory.apply(createHostChange('own', { registeredRevision: 2 }));
    await Promise.resolve();
  });

  it('chooses the host registered first, which issues permits after the takeover delay', () => {
    pass(TAKEOVER_DELAY_MS - 1);
    equal(coordinators.isCoordinatedHere(UPSTREAM), false);
    pass(1);
    equal(coordinators.isCoordinatedHere(UPSTREAM), true);
    directory.apply(createHostChange('older', { registeredRevision: 1 }));
    equal(coordinators.isCoordinatedHere(UPSTREAM), false);
    equal(coordinators.getCoordinator(UPSTREAM)?.id, 'older');
  });

  it('restarts the takeover delay when this host becomes coordinator again', async () => {
    pass(TAKEOVER_DELAY_MS);
    equal(coordinators.isCoordinatedHere(UPSTREAM), true);
    directory.apply(createHostChange('older', { registeredRevision: 1 }));
    await Promise.resolve();
    directory.apply({ kind: 'hostGone', hostId: toId<HostId>('older') });
    equal(coordinators.isCoordinatedHere(UPSTREAM), false);
    pass(TAKEOVER_DELAY_MS);
    equal(coordinators.isCoordinatedHere(UPSTREAM), true);
  });

  it('stops coordinating when the store does not confirm the registration or directory', () => {
    pass(TAKEOVER_DELAY_MS);
    isRegistered = false;
    equal(coordinators.isCoordinatedHere(UPSTREAM), false);
    isRegistered = true;
    equal(coordinators.isCoordinatedHere(UPSTREAM), true);
    clock.advance(4_001);
    equal(coordinators.isCoordinatedHere(UPSTREAM), false);
  });

  it('restarts the takeover delay after a pause of the process', () => {
    pass(TAKEOVER_DELAY_MS);
    equal(coordinators.isCoordinatedHere(UPSTREAM), true);
    coordinators.restartTakeovers();
    equal(coordinators.isCoordinatedHere(UPSTREAM), false);
  });

  it('names no coordinator when no host is known', () => {
    directory.apply({ kind: 'hostGone', hostId: toId<HostId>('own') });
    pass(TAKEOVER_DELAY_MS);
    equal(coordinators.isCoordinatedHere(UPSTREAM), false);
    equal(coordinators.getCoordinator(UPSTREAM), undefined);
  });
});
