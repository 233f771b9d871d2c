import { deepEqual, equal, ok } from 'node:assert/strict';
import {
  after, before, describe, it,
} from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { Fleet } from '../../../scripts/fleet/Fleet.ts';
import { FAULT_DEPLOYMENT } from '../../support/FAULT_DEPLOYMENT.ts';
import { FleetCaller, type CallerAnswer } from '../../support/FleetCaller.ts';

const REQUEST_COUNT = 40;
const SPACING_MS = 10;
const STOP_AFTER_REQUESTS = 20;

describe('a planned stop of an entry host process', () => {
  let fleet: Fleet;
  const caller = new FleetCaller();

  before(async () => {
    fleet = await Fleet.create({ deployment: FAULT_DEPLOYMENT, hostCount: 2 });
  });

  after(async () => {
    await caller.close();
    await fleet.close();
  });

  [{ signalCount: 1, hostIndex: 0 }, { signalCount: 2, hostIndex: 1 }].forEach(({
    signalCount, hostIndex,
  }) => {
    it(`breaks off no request after ${signalCount} SIGTERM`, async () => {
      const host = fleet.hosts[hostIndex];
      ok(host);
      const calls: Promise<CallerAnswer>[] = [];
      while (calls.length < REQUEST_COUNT) {
        if (calls.length === STOP_AFTER_REQUESTS) {
          Array.from({ length: signalCount }).forEach(() => host.program.kill('SIGTERM'));
        }
        calls.push(caller.call(host.httpUrl, {
          pipelineId: 'enquiry',
          input: `question ${calls.length}`,
          idempotencyKey: null,
          isStreamed: calls.length % 2 === 0,
        }));
        // eslint-disable-next-line no-await-in-loop -- requests are sent at intervals
        await sleep(SPACING_MS);
      }
      const answers = await Promise.all(calls);
      const early = answers.slice(0, STOP_AFTER_REQUESTS);
      deepEqual(early.map(({ kind }) => kind), early.map(() => 'completed'));
      const late = answers.slice(STOP_AFTER_REQUESTS);
      deepEqual(late.filter(({ kind }) => kind === 'cutOff'), []);
      ok(late.every((answer) => answer.kind !== 'refused' || answer.notRun));
      deepEqual(await host.program.exited, { code: 0, signal: null });
      equal(host.program.isRunning, false);
    });
  });
});
