import { deepEqual, equal } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { pino } from 'pino';
import { createBedConfiguration } from '../../test/support/createBedConfiguration.ts';
import { toId, type PoolId } from '../lib/ids.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { ConfigurationCatchUp } from './ConfigurationCatchUp.ts';
import { Directory } from './Directory.ts';
import type { ServingConfiguration } from './ServingConfiguration.ts';

const PEER = '127.0.0.1:1';
const MAX_WAIT_MS = 20;

function createVersion(version: number): ServingConfiguration {
  return { ...createBedConfiguration(toId<PoolId>('pool')), version };
}

/** A host that has version 1, and another one whose answer the test gives. */
function createBed(answer: () => Promise<string | null>): {
  readonly catchUp: ConfigurationCatchUp;
  readonly directory: Directory;
  readonly reads: readonly number[];
} {
  const directory = new Directory(new ManualClock());
  directory.apply({ kind: 'configuration', configuration: createVersion(1) });
  const reads: number[] = [];
  const catchUp = new ConfigurationCatchUp({
    directory,
    store: { decodeConfiguration: (encoded) => createVersion(Number(encoded)) },
    peers: {
      read: async (_address, newerThan) => {
        reads.push(newerThan);
        return answer();
      },
    },
    logger: pino({ level: 'silent' }),
  });
  return { catchUp, directory, reads };
}

describe('ConfigurationCatchUp', () => {
  it('reads nothing while this host has the version', async () => {
    const { catchUp, reads } = createBed(async () => '2');
    equal(await catchUp.reach(1, PEER, MAX_WAIT_MS), true);
    deepEqual(reads, []);
  });

  it('lets requests that wait for one version share a read', async () => {
    const { catchUp, directory, reads } = createBed(async () => '3');
    const reached = await Promise.all([1, 2, 3].map(() => catchUp.reach(2, PEER, MAX_WAIT_MS)));
    deepEqual(reached, [true, true, true]);
    deepEqual(reads, [1]);
    equal(directory.configuration?.version, 3);
  });

  it('never adopts an older version', async () => {
    const { catchUp, directory } = createBed(async () => '0');
    equal(await catchUp.reach(2, PEER, MAX_WAIT_MS), false);
    equal(directory.configuration?.version, 1);
  });

  it('does not reach a version that the other host lacks, or gives no answer about', async () => {
    equal(await createBed(async () => null).catchUp.reach(2, PEER, MAX_WAIT_MS), false);
    const failing = createBed(() => Promise.reject(new Error('no answer')));
    equal(await failing.catchUp.reach(2, PEER, MAX_WAIT_MS), false);
    const silent = createBed(() => new Promise(() => {}));
    equal(await silent.catchUp.reach(2, PEER, MAX_WAIT_MS), false);
  });
});
