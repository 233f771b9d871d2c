import { deepEqual, equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { FakeCoreContext } from '../../test/support/FakeCoreContext.ts';
import { createSampleConfiguration } from '../../test/support/createSampleConfiguration.ts';
import { toId, type HostId } from '../lib/ids.ts';
import type { HostListEntry } from '../platform/HostListEntry.ts';
import { FleetManager } from './FleetManager.ts';

const PEER: HostListEntry = {
  hostId: toId('entry-a2'),
  incarnationId: toId('start-of-a2'),
  failureDomainId: toId('domain-a'),
  peerAddress: '127.0.0.1:7002',
  isLeaving: false,
};

function createFleet(): {
  context: FakeCoreContext; fleet: FleetManager; changes: string[]; owners: (HostId | null)[][];
} {
  const context = new FakeCoreContext('entry-a1');
  const fleet = new FleetManager(context, { start: { startedAtMs: 1 } });
  const changes: string[] = [];
  const owners: (HostId | null)[][] = [];
  fleet.setListener({
    onMemberChanged: ({ hostId, state }) => changes.push(`${hostId} ${state}`),
    onNewerConfiguration: () => undefined,
    onDutiesChanged: (duties) => owners.push(duties.getClaimOwners()),
  });
  return {
    context, fleet, changes, owners,
  };
}

function runUntil(fleet: FleetManager, context: FakeCoreContext, untilMs: number): void {
  while (context.getNowMs() < untilMs) {
    context.clock.advance(100);
    fleet.tick();
  }
}

describe('FleetCoordinator', () => {
  it('shares the claim shards with a peer and takes them back at its death', () => {
    const {
      context, fleet, changes, owners,
    } = createFleet();
    fleet.tick();
    deepEqual([...new Set(owners.at(-1))], ['entry-a1']);
    fleet.handleHostList([PEER]);
    fleet.tick();
    equal(new Set(owners.at(-1)).size, 2);
    runUntil(fleet, context, 20_000);
    deepEqual(changes, ['entry-a2 alive', 'entry-a2 suspect', 'entry-a2 dead']);
    deepEqual([...new Set(owners.at(-1))], ['entry-a1']);
  });

  it('hands all duties over when it leaves', () => {
    const { fleet, owners } = createFleet();
    fleet.handleHostList([PEER]);
    fleet.announceLeaving();
    fleet.tick();
    deepEqual([...new Set(owners.at(-1))], ['entry-a2']);
  });

  it('tells a peer of a configuration at once', () => {
    const { context, fleet } = createFleet();
    fleet.handleHostList([PEER]);
    fleet.tick();
    context.takeOutputs();
    fleet.setConfiguration(createSampleConfiguration(3));
    const versions = context.takeOutputs().flatMap((output) => (
      output.kind === 'sendPeerMessage' && output.message.kind === 'heartbeat'
        ? [output.message.configurationVersion]
        : []));
    deepEqual(versions, [3]);
  });

  it('is never due in the past', () => {
    const { context, fleet } = createFleet();
    fleet.handleHostList([PEER]);
    runUntil(fleet, context, 5000);
    ok(fleet.getNextWakeMs() > context.getNowMs());
  });
});
