import { equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { pino } from 'pino';
import { toId, type HostId } from '../lib/ids.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { Directory } from './Directory.ts';
import { DirectoryReaders } from './DirectoryReaders.ts';

const DOMAINS = ['a', 'b', 'c', 'd', 'e'];

interface TestHost {
  readonly name: string;
  readonly failureDomain: string;
}

function createNames(hostCount: number): TestHost[] {
  return Array.from({ length: hostCount }, (_, index) => ({
    name: `host-${index}`, failureDomain: DOMAINS[index % DOMAINS.length] ?? '',
  }));
}

function createReaders(
  hosts: readonly TestHost[],
  own: TestHost,
  clock = new ManualClock(),
): DirectoryReaders {
  const directory = new Directory(clock);
  hosts.forEach(({ name, failureDomain }, index) => directory.apply({
    kind: 'host',
    entry: {
      id: toId<HostId>(name),
      failureDomain,
      peerAddress: `${name}:1`,
      processorCores: 1,
      linkMbps: 1,
      registeredRevision: index,
    },
  }));
  return new DirectoryReaders({
    clock,
    hostId: toId<HostId>(own.name),
    failureDomain: own.failureDomain,
    directory,
    logger: pino({ level: 'silent' }),
  });
}

describe('DirectoryReaders', () => {
  [60, 195, 300].forEach((hostCount) => {
    it(`lets two hosts of each failure domain read the store, of ${hostCount} hosts`, () => {
      const hosts = createNames(hostCount);
      const all = hosts.map((own) => ({ own, readers: createReaders(hosts, own) }));
      const fromStore = all.filter(({ readers }) => readers.choose() === null);
      equal(fromStore.length, 2 * DOMAINS.length);
      ok(fromStore.every(({ readers }) => readers.isReader));
      all.forEach(({ own, readers }) => {
        const reader = readers.choose();
        ok(reader === null || reader.failureDomain === own.failureDomain);
      });
    });
  });

  it('lets every host of a small failure domain, or one that nobody sees, read the store', () => {
    const hosts = createNames(15);
    hosts.forEach((own) => {
      const readers = createReaders(hosts, own);
      equal(readers.choose(), null);
      equal(readers.isReader, false);
    });
    const unseen = { name: 'unseen', failureDomain: 'a' };
    equal(createReaders(createNames(60), unseen).choose(), null);
  });

  it('turns to the other reader and then to the store, and comes back', () => {
    const clock = new ManualClock();
    const hosts = createNames(60);
    const own = hosts.find((host) => createReaders(hosts, host).choose() !== null);
    ok(own);
    const readers = createReaders(hosts, own, clock);
    const first = readers.choose();
    ok(first);
    readers.noteFailure(first, 'silent');
    const second = readers.choose();
    ok(second !== null && second.id !== first.id);
    readers.noteFailure(second, 'silent');
    equal(readers.choose(), null);
    clock.advance(5_000);
    equal(readers.choose()?.id, first.id);
  });
});
