import { deepEqual, equal } from 'node:assert/strict';
import {
  afterEach, beforeEach, describe, it,
} from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { toId } from '../../src/lib/ids.ts';
import type { AttemptFailedInput } from '../../src/core/CoreInput.ts';
import type { SendAttemptOutput } from '../../src/core/CoreOutput.ts';
import type { AttemptFailure } from '../../src/upstreams/AttemptFailure.ts';
import { ServiceStandin } from '../../standins/ServiceStandin.ts';
import { StagePoolStandin } from '../../standins/StagePoolStandin.ts';
import type { StandinFault } from '../../standins/StandinFault.ts';
import type { UpstreamStandinOptions } from '../../standins/UpstreamStandinOptions.ts';
import { getStageOutput } from '../../standins/getStandinText.ts';
import { AttemptRecorder } from '../support/AttemptRecorder.ts';
import { ClosingServer } from '../support/ClosingServer.ts';

interface FaultCase {
  readonly fault: StandinFault;
  readonly failure: AttemptFailure;
  readonly executionCount: number;
  readonly costMicros: number;
  readonly timeoutMs?: number;
}

const POLL_MS = 5;
const PRICE_MICROS = 70;
/** Far below the fault's delay, and far above the time a busy machine needs for a send. */
const SHORT_TIMEOUT_MS = 1000;

const FAULT_CASES: readonly FaultCase[] = [
  {
    fault: { kind: 'refuse' }, failure: 'refused', executionCount: 0, costMicros: 0,
  },
  {
    fault: { kind: 'fail' }, failure: 'errored', executionCount: 1, costMicros: PRICE_MICROS,
  },
  {
    fault: { kind: 'loseAnswer' }, failure: 'crashed', executionCount: 1, costMicros: 0,
  },
  {
    fault: { kind: 'cut' }, failure: 'crashed', executionCount: 0, costMicros: 0,
  },
  {
    fault: { kind: 'poison', substring: 'input' },
    failure: 'crashed',
    executionCount: 1,
    costMicros: 0,
  },
  {
    fault: { kind: 'truncate' }, failure: 'truncated', executionCount: 1, costMicros: 0,
  },
  {
    fault: { kind: 'duplicate' }, failure: 'truncated', executionCount: 1, costMicros: 0,
  },
  {
    fault: { kind: 'slow', delayMs: 60_000 },
    failure: 'timedOut',
    executionCount: 1,
    costMicros: 0,
    timeoutMs: SHORT_TIMEOUT_MS,
  },
  {
    fault: { kind: 'freeze' },
    failure: 'timedOut',
    executionCount: 0,
    costMicros: 0,
    timeoutMs: SHORT_TIMEOUT_MS,
  },
];

const KINDS = [
  {
    poolKind: 'stagePool',
    create: (options: Partial<UpstreamStandinOptions>) => StagePoolStandin.create(options),
  },
  {
    poolKind: 'service',
    create: (options: Partial<UpstreamStandinOptions>) => ServiceStandin.create(options),
  },
] as const;

async function runUntilSuccess(
  recorder: AttemptRecorder,
  createOutput: () => SendAttemptOutput,
): Promise<void> {
  const [end] = await recorder.run(createOutput());
  if (end?.kind !== 'attemptSucceeded') {
    await sleep(POLL_MS);
    await runUntilSuccess(recorder, createOutput);
  }
}

async function waitForExecution(standin: StagePoolStandin | ServiceStandin): Promise<void> {
  if (standin.server.counts.executionCount === 0) {
    await sleep(POLL_MS);
    await waitForExecution(standin);
  }
}

KINDS.forEach(({ poolKind, create }) => describe(`a ${poolKind}`, () => {
  let standin: StagePoolStandin | ServiceStandin;
  let recorder: AttemptRecorder;
  const createOutput = (timeoutMs = 5000) => (
    recorder.createOutput({ url: standin.url, poolKind, timeoutMs })
  );

  beforeEach(async () => {
    standin = await create({ priceMicros: PRICE_MICROS });
    recorder = new AttemptRecorder({ lateAnswerMs: 50 });
  });

  afterEach(async () => {
    await recorder.close();
    await standin.close();
  });

  it('returns a complete result with its cost and incarnation, and bills the account', async () => {
    const output = createOutput();
    deepEqual(await recorder.run(output), [{
      kind: 'attemptSucceeded',
      attemptId: output.attemptId,
      upstreamIncarnation: standin.server.incarnation,
      output: getStageOutput('stage-1', 'input'),
      costMicros: PRICE_MICROS,
    }]);
    const { billedMicros } = standin.server.counts.getReport();
    deepEqual(billedMicros, { 'account-1/stage-1': PRICE_MICROS });
  });

  FAULT_CASES.forEach((faultCase) => {
    it(`fails as ${faultCase.failure} under the fault ${faultCase.fault.kind}`, async () => {
      // The first attempt opens a connection, the second one reuses it.
      await recorder.run(createOutput());
      const countBefore = standin.server.counts.executionCount;
      standin.server.applyFault(faultCase.fault);
      const output = createOutput(faultCase.timeoutMs);
      const [end] = await recorder.run(output);
      const { failure, costMicros } = end as AttemptFailedInput;
      deepEqual([failure, costMicros], [faultCase.failure, faultCase.costMicros]);
      equal(standin.server.counts.executionCount - countBefore, faultCase.executionCount);
    });
  });

  it('fails as unreachable without a connection, and serves after its restart', async () => {
    standin.server.applyFault({ kind: 'crash', downMs: 100 });
    const output = createOutput();
    const [end] = await recorder.run(output);
    equal(end?.kind === 'attemptFailed' && end.failure, 'unreachable');
    equal(standin.server.counts.executionCount, 0);
    await runUntilSuccess(recorder, createOutput);
  });

  it('fails as rejected when it cannot read the input', async () => {
    const [end] = await recorder.run({ ...createOutput(), accountId: toId('') });
    equal(end?.kind === 'attemptFailed' && end.failure, 'rejected');
  });

  it('reports the retry delay of a refusal', async () => {
    standin.server.applyFault({ kind: 'refuse', retryAfterS: 7 });
    const [end] = await recorder.run(createOutput());
    equal(end?.kind === 'attemptFailed' && end.retryAfterMs, 7000);
  });

  it('sends an attempt only once when the reused connection is closed', async () => {
    const server = new ClosingServer();
    const url = await server.listen();
    const single = new AttemptRecorder({ maxConnections: 1 });
    await single.run(single.createOutput({ url, poolKind }));
    const [end] = await single.run(single.createOutput({ url, poolKind }));
    equal(end?.kind === 'attemptFailed' && end.failure, 'crashed');
    equal(server.requestCount, 2);
    await single.close();
    await server.close();
  });

  it('reports the cost of a cancelled attempt', async () => {
    standin.server.applyFault({ kind: 'slow', delayMs: 60_000 });
    const output = createOutput();
    recorder.sender.send(output);
    await waitForExecution(standin);
    recorder.sender.cancel(output.attemptId);
    await recorder.waitUntil(() => recorder.getEnd(output) !== null);
    const end = recorder.getEnd(output);
    equal(end?.costMicros, PRICE_MICROS);
    equal(end?.kind === 'attemptFailed' && end.failure, 'errored');
  });

  it('ends an attempt cancelled before its send as unreachable', async () => {
    const output = createOutput();
    recorder.sender.send(output);
    recorder.sender.cancel(output.attemptId);
    await recorder.waitUntil(() => recorder.getEnd(output) !== null);
    const end = recorder.getEnd(output);
    equal(end?.kind === 'attemptFailed' && end.failure, 'unreachable');
    equal(standin.server.counts.executionCount, 0);
  });

  it('refuses attempts beyond its queue limit without running them', async () => {
    const small = await create({ capacity: 1, queueLimit: 0, serviceMs: 50 });
    const outputs = [1, 2, 3].map(() => recorder.createOutput({ url: small.url, poolKind }));
    const ends = await Promise.all(outputs.map((output) => recorder.run(output)));
    const kinds = ends.map(([end]) => (end?.kind === 'attemptFailed' ? end.failure : end?.kind));
    deepEqual(kinds.sort(), ['attemptSucceeded', 'refused', 'refused']);
    equal(small.server.counts.executionCount, 1);
    await small.close();
  });

  it('crashes when it receives more attempts than its cold capacity', async () => {
    const cold = await create({ coldCapacity: 1, warmupMs: 60_000, serviceMs: 50 });
    const { incarnation } = cold.server;
    const outputs = [1, 2].map(() => recorder.createOutput({ url: cold.url, poolKind }));
    await Promise.all(outputs.map((output) => recorder.run(output)));
    equal(cold.server.counts.overloadCount, 1);
    equal(cold.server.counts.crashCount, 1);
    equal(cold.server.incarnation === incarnation, false);
    await cold.close();
  });
}));

describe('a service', () => {
  [true, false].forEach((honoursIdempotencyKey) => {
    it(`${honoursIdempotencyKey ? 'runs' : 'does not run'} a repeated key once`, async () => {
      const standin = await ServiceStandin.create({ honoursIdempotencyKey });
      const recorder = new AttemptRecorder();
      const createOutput = () => recorder.createOutput({
        url: standin.url, poolKind: 'service', idempotencyKey: toId('key-1'),
      });
      await recorder.run(createOutput());
      await recorder.run(createOutput());
      const counts = standin.server.counts.getReport();
      deepEqual(counts.executionsByIdempotencyKey, { 'key-1': honoursIdempotencyKey ? 1 : 2 });
      await recorder.close();
      await standin.close();
    });
  });

  it('reports an answer that arrives after the timeout, so that its outcome is known', async () => {
    const standin = await ServiceStandin.create({ serviceMs: 2 * SHORT_TIMEOUT_MS });
    const recorder = new AttemptRecorder({ lateAnswerMs: 30_000 });
    const output = recorder.createOutput({
      url: standin.url, poolKind: 'service', timeoutMs: SHORT_TIMEOUT_MS,
    });
    await recorder.run(output);
    await recorder.waitUntil(() => recorder.getEnd(output)?.kind === 'attemptSucceeded');
    deepEqual(
      recorder.inputs.map((input) => (input.kind === 'attemptFailed' ? input.failure : input.kind)),
      ['timedOut', 'attemptSucceeded'],
    );
    await recorder.close();
    await standin.close();
  });
});
