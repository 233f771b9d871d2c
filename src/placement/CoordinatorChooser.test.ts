import { equal, notEqual, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { pino } from 'pino';
import { Directory } from '../directory/Directory.ts';
import type { KnownHost } from '../directory/HostEntry.ts';
import { toId, type HostId } from '../lib/ids.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { CoordinatorChooser } from './CoordinatorChooser.ts';

const GROUP = { domains: ['a', 'b'], weight: 1 };

function createHost(name: string, failureDomain: string, limits: Partial<KnownHost>): KnownHost {
  return {
    id: toId<HostId>(name),
    failureDomain,
    peerAddress: `${name}:1`,
    processorCores: 1,
    linkMbps: 100,
    registeredRevision: 1,
    ...limits,
  };
}

function choose(hosts: readonly KnownHost[], own: string, avoided: readonly string[] = []): string {
  const directory = new Directory(new ManualClock());
  hosts.forEach((entry) => directory.apply({ kind: 'host', entry }));
  const chooser = new CoordinatorChooser({
    hostId: toId<HostId>(own),
    directory,
    logger: pino({ level: 'silent' }),
    isAvoided: (host) => avoided.includes(host.id),
  });
  return chooser.choose(GROUP)?.id ?? own;
}

const HOSTS = [
  createHost('slow', 'a', { processorCores: 0.3 }),
  createHost('narrow', 'a', { linkMbps: 7 }),
  createHost('one', 'a', {}),
  createHost('two', 'b', { processorCores: 2, linkMbps: 1_000 }),
  createHost('far', 'c', {}),
];

describe('PlacerChooser', () => {
  it('is the same choice on all hosts', () => {
    const choices = new Set(HOSTS.map(({ id }) => choose(HOSTS, id)));
    equal(choices.size, 1);
  });

  it('passes over hosts that lack processor or bandwidth, and those outside the group', () => {
    const chosen = choose(HOSTS, 'far');
    const second = choose(HOSTS, 'far', [chosen]);
    equal([chosen, second].sort().join(), 'one,two');
  });

  it('stays with the host that is there for longest when others start again', () => {
    const hosts = ['one', 'two', 'three'].map((name, index) => (
      createHost(name, 'a', { registeredRevision: index + 5 })));
    const [one, two, three] = hosts;
    ok(one && two && three);
    equal(choose(hosts, 'far'), 'one');
    equal(choose([{ ...one, registeredRevision: 9 }, two, three], 'far'), 'two');
    equal(choose([one, { ...two, registeredRevision: 9 }, three], 'far'), 'one');
  });

  it('takes any host when none of the group is there, and this one when it knows of none', () => {
    notEqual(choose(HOSTS.slice(4), 'elsewhere'), 'elsewhere');
    equal(choose([], 'elsewhere'), 'elsewhere');
  });
});
