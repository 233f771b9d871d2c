import { equal, notEqual } from 'node:assert/strict';
import {
  afterEach, beforeEach, describe, it,
} from 'node:test';
import type { LoadReportedInput } from '../../src/core/CoreInput.ts';
import { toId } from '../../src/lib/ids.ts';
import { LoadReader } from '../../src/upstreams/LoadReader.ts';
import { StagePoolStandin } from '../../standins/StagePoolStandin.ts';
import type { StandinFault } from '../../standins/StandinFault.ts';
import { AttemptRecorder } from '../support/AttemptRecorder.ts';

describe('a load report', () => {
  let standin: StagePoolStandin;
  let reader: LoadReader;
  const read = () => reader.read(toId('encoder-1'), standin.url);

  beforeEach(async () => {
    standin = await StagePoolStandin.create({ capacity: 1, serviceMs: 1000 });
    reader = new LoadReader({ timeoutMs: 1000 });
  });

  afterEach(async () => {
    await reader.close();
    await standin.close();
  });

  it('contains the numbers of running and queued attempts', async () => {
    const recorder = new AttemptRecorder();
    const outputs = [1, 2, 3].map(() => (
      recorder.createOutput({ url: standin.url, poolKind: 'stagePool' })
    ));
    const runs = outputs.map((output) => recorder.run(output));
    let load = await read() as LoadReportedInput;
    while (load.queuedCount < 2) {
      // eslint-disable-next-line no-await-in-loop -- until the attempts have arrived
      load = await read() as LoadReportedInput;
    }
    equal(load.kind, 'loadReported');
    equal(load.upstreamId, 'encoder-1');
    equal(load.runningCount, 1);
    equal(load.upstreamIncarnation, standin.server.incarnation);
    await Promise.all(runs);
    await recorder.close();
  });

  it('contains a new incarnation after a crash', async () => {
    const before = await read() as LoadReportedInput;
    equal(before.kind, 'loadReported');
    standin.server.applyFault({ kind: 'crash' });
    let after = await read();
    while (after.kind === 'loadUnavailable') {
      // A read over the broken connection returns no report, and never the old one.
      // eslint-disable-next-line no-await-in-loop -- until the new incarnation answers
      after = await read();
    }
    notEqual(after.upstreamIncarnation, before.upstreamIncarnation);
  });

  const faults: StandinFault[] = [
    { kind: 'crash', downMs: 60_000 }, { kind: 'cut' }, { kind: 'freeze' },
  ];
  faults.forEach((fault) => {
    it(`is unavailable under ${fault.kind}`, async () => {
      standin.server.applyFault(fault);
      equal((await read()).kind, 'loadUnavailable');
    });
  });
});
