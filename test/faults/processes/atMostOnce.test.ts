import { deepEqual, equal } from 'node:assert/strict';
import {
  after, before, describe, it,
} from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Fleet } from '../../../scripts/fleet/Fleet.ts';
import { AtMostOnceRun, SERVICE_ID, type ProcessFault } from '../../support/AtMostOnceRun.ts';

/** Longer than the lease of a claim shard's owner. */
const FREEZE_MS = 4000;
const CASES_AT_ONCE = 2;

async function injectFault(fleet: Fleet, kind: string): Promise<void> {
  await fetch(`${fleet.upstreams.get(SERVICE_ID)?.url}/fault`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ kind }),
  });
}

const FAULTS: readonly ProcessFault[] = [
  {
    name: 'an entry host is killed',
    start: (fleet) => fleet.hosts[0]?.program.kill('SIGKILL'),
    end: async (fleet) => {
      await fleet.startHost(0);
    },
  },
  {
    name: 'an entry host is frozen past its leases and resumes',
    start: async (fleet) => {
      fleet.hosts[0]?.program.kill('SIGSTOP');
      await sleep(FREEZE_MS);
    },
    end: (fleet) => fleet.hosts[0]?.program.kill('SIGCONT'),
  },
  {
    name: 'the service is frozen and resumes',
    start: (fleet) => fleet.upstreams.get(SERVICE_ID)?.program.kill('SIGSTOP'),
    end: (fleet) => fleet.upstreams.get(SERVICE_ID)?.program.kill('SIGCONT'),
  },
  {
    name: 'the service loses its answers after their effect',
    start: (fleet) => injectFault(fleet, 'loseAnswer'),
    end: (fleet) => injectFault(fleet, 'none'),
  },
  {
    name: 'the service breaks its connections',
    start: (fleet) => injectFault(fleet, 'cut'),
    end: (fleet) => injectFault(fleet, 'none'),
  },
  {
    name: 'the platform is frozen and resumes',
    start: (fleet) => fleet.platform.program.kill('SIGSTOP'),
    end: (fleet) => fleet.platform.program.kill('SIGCONT'),
  },
];

describe('a call that may not be repeated', { concurrency: CASES_AT_ONCE }, () => {
  FAULTS.forEach((fault) => describe(`when ${fault.name}`, () => {
    let run: AtMostOnceRun;

    before(async () => {
      run = await AtMostOnceRun.create();
    });

    after(() => run.close());

    it(`runs at most once when ${fault.name}`, async () => {
      deepEqual(await run.run(fault), {
        ranTwice: [],
        completedWithoutRun: [],
        ranDespiteNotRun: [],
        failedBeforeFault: [],
      });
    });

    it(`is served again after ${fault.name}`, async () => {
      equal(await run.findLastingFailure(), null);
    });
  }));
});
