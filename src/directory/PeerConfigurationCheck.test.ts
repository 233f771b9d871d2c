import { deepEqual } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { pino } from 'pino';
import { createHostChange } from '../../test/support/createHostChange.ts';
import { toId, type HostId } from '../lib/ids.ts';
import { SeededRandomSource } from '../lib/SeededRandomSource.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { Directory } from './Directory.ts';
import { PeerConfigurationCheck } from './PeerConfigurationCheck.ts';

const MAX_AGE_MS = 2_000;
const CHECK_INTERVAL_MS = 250;

/** Runs checks for some time and returns the addresses that were read from. */
function run(
  durationMs: number,
  prepare: (directory: Directory, nowMs: number) => void = () => {},
): string[] {
  const clock = new ManualClock();
  const directory = new Directory(clock);
  ['self', 'new'].forEach((name) => (
    directory.apply(createHostChange(name, { comparesConfigurations: true }))));
  directory.apply(createHostChange('earlier-build'));
  directory.recordConfirmation();
  const read: string[] = [];
  const check = new PeerConfigurationCheck({
    clock,
    hostId: toId<HostId>('self'),
    directory,
    catchUp: {
      refresh: async (address) => {
        read.push(address);
      },
    },
    random: new SeededRandomSource(1),
    maxAgeMs: MAX_AGE_MS,
    logger: pino({ level: 'silent' }),
  });
  for (let nowMs = 0; nowMs < durationMs; nowMs += CHECK_INTERVAL_MS) {
    prepare(directory, nowMs);
    check.check();
    clock.advance(CHECK_INTERVAL_MS);
  }
  return read;
}

describe('PeerConfigurationCheck', () => {
  it('asks no host while the store confirms the directory', () => {
    deepEqual(run(30_000, (directory, nowMs) => {
      if (nowMs % MAX_AGE_MS === 0) {
        directory.recordConfirmation();
      }
    }), []);
  });

  it('asks hosts that compare configurations each second once the store is silent', () => {
    deepEqual(run(MAX_AGE_MS + 3_000), ['new:1', 'new:1', 'new:1']);
  });
});
