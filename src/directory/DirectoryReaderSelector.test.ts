import { equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { pino } from 'pino';
import { createHostChange } from '../../test/support/createHostChange.ts';
import { toId, type HostId } from '../lib/ids.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { Directory } from './Directory.ts';
import { DirectoryReaderSelector } from './DirectoryReaderSelector.ts';

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

function createSelector(
  hosts: readonly TestHost[],
  own: TestHost,
  clock = new ManualClock(),
): DirectoryReaderSelector {
  const directory = new Directory(clock);
  hosts.forEach(({ name, failureDomain }, index) => directory.apply(
    createHostChange(name, { failureDomain, registeredRevision: index }),
  ));
  return new DirectoryReaderSelector({
    clock,
    hostId: toId<HostId>(own.name),
    failureDomain: own.failureDomain,
    directory,
    logger: pino({ level: 'silent' }),
  });
}

describe('DirectoryReaders', () => {
  [[60, 1], [195, 2], [300, 3]].forEach(([hostCount = 0, readerCount = 0]) => {
    it(`lets ${readerCount} in ${hostCount / DOMAINS.length} hosts read the store`, () => {
      const hosts = createNames(hostCount);
      const all = hosts.map((own) => ({ own, readers: createSelector(hosts, own) }));
      const fromStore = all.filter(({ readers }) => readers.chooseReader() === null);
      equal(fromStore.length, readerCount * DOMAINS.length);
      ok(fromStore.every(({ readers }) => readers.isReader));
      all.forEach(({ own, readers }) => {
        const reader = readers.chooseReader();
        ok(reader === null || reader.failureDomain === own.failureDomain);
      });
    });
  });

  it('lets every host of a small failure domain, or one that nobody sees, read the store', () => {
    const hosts = createNames(15);
    hosts.forEach((own) => {
      const readers = createSelector(hosts, own);
      equal(readers.chooseReader(), null);
      equal(readers.isReader, false);
    });
    const unseen = { name: 'unseen', failureDomain: 'a' };
    equal(createSelector(createNames(60), unseen).chooseReader(), null);
  });

  it('turns to substitutes and then to the store, and comes back', () => {
    const clock = new ManualClock();
    const hosts = createNames(60);
    const own = hosts.find((host) => createSelector(hosts, host).chooseReader() !== null);
    ok(own);
    const readers = createSelector(hosts, own, clock);
    const tried: (string | null)[] = [];
    for (let reader = readers.chooseReader(); reader !== null; reader = readers.chooseReader()) {
      tried.push(reader.id);
      readers.recordFailure(reader, 'silent');
    }
    ok(tried.length >= 1 && tried.length <= 3);
    equal(new Set(tried).size, tried.length);
    clock.advance(5_000);
    equal(readers.chooseReader()?.id, tried[0]);
  });

  it('reads for the others when the reader before it has failed', () => {
    const hosts = createNames(60);
    const [first] = hosts.filter(({ failureDomain }) => failureDomain === 'a')
      .filter((host) => createSelector(hosts, host).isReader);
    ok(first);
    const isSubstitute = hosts.filter(({ failureDomain }) => failureDomain === 'a')
      .filter((host) => {
        const readers = createSelector(hosts, host);
        const reader = readers.chooseReader();
        if (reader !== null) {
          readers.recordFailure(reader, 'silent');
        }
        return reader !== null && readers.isReader;
      });
    equal(isSubstitute.length, 1);
  });
});
