import { deepEqual, equal, ok } from 'node:assert/strict';
import {
  afterEach, beforeEach, describe, it,
} from 'node:test';
import type { AttemptChunkInput, AttemptFailedInput } from '../../src/core/CoreInput.ts';
import type { AttemptFailure } from '../../src/upstreams/AttemptFailure.ts';
import type { AttemptInput } from '../../src/upstreams/UpstreamSender.ts';
import { EngineStandin } from '../../standins/EngineStandin.ts';
import type { StandinFault } from '../../standins/StandinFault.ts';
import { getGeneratedTokens } from '../../standins/getStandinText.ts';
import { AttemptRecorder } from '../support/AttemptRecorder.ts';

const TOKEN_COUNT = 8;
const PRICE_MICROS = 3;
const TEXT = getGeneratedTokens('input', TOKEN_COUNT).join('');

interface FaultCase {
  readonly fault: StandinFault;
  readonly failure: AttemptFailure;
  readonly executionCount: number;
  readonly timeoutMs?: number;
}

/** Far below the fault's delay, and far above the time a busy machine needs for a send. */
const SHORT_TIMEOUT_MS = 1000;

const FAULT_CASES: readonly FaultCase[] = [
  { fault: { kind: 'refuse' }, failure: 'refused', executionCount: 0 },
  { fault: { kind: 'fail' }, failure: 'errored', executionCount: 1 },
  { fault: { kind: 'loseAnswer' }, failure: 'crashed', executionCount: 1 },
  { fault: { kind: 'cut' }, failure: 'crashed', executionCount: 0 },
  { fault: { kind: 'poison', substring: 'input' }, failure: 'crashed', executionCount: 1 },
  { fault: { kind: 'truncate' }, failure: 'truncated', executionCount: 1 },
  {
    fault: { kind: 'slow', delayMs: 60_000 },
    failure: 'timedOut',
    executionCount: 1,
    timeoutMs: SHORT_TIMEOUT_MS,
  },
  {
    fault: { kind: 'freeze' }, failure: 'timedOut', executionCount: 0, timeoutMs: SHORT_TIMEOUT_MS,
  },
];

function getChunkText(inputs: readonly AttemptInput[]): string {
  return inputs
    .filter((input): input is AttemptChunkInput => input.kind === 'attemptChunk')
    .map((input) => input.text)
    .join('');
}

function post(url: string, body: object): Promise<Response> {
  return fetch(url, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
}

describe('an engine', () => {
  let engine: EngineStandin;
  let recorder: AttemptRecorder;
  const createOutput = (timeoutMs = 5000) => (
    recorder.createOutput({ url: engine.url, poolKind: 'engine', timeoutMs })
  );

  beforeEach(async () => {
    engine = await EngineStandin.create({
      tokenCount: TOKEN_COUNT, priceMicros: PRICE_MICROS, cacheEventLagMs: 0,
    });
    recorder = new AttemptRecorder({ lateAnswerMs: 50 });
  });

  afterEach(async () => {
    await recorder.close();
    await engine.close();
  });

  it('streams its text in order and ends with the complete result and its cost', async () => {
    const output = createOutput();
    const inputs = await recorder.run(output);
    equal(getChunkText(inputs), TEXT);
    deepEqual(inputs.at(-1), {
      kind: 'attemptSucceeded',
      attemptId: output.attemptId,
      upstreamIncarnation: engine.server.incarnation,
      output: TEXT,
      costMicros: PRICE_MICROS * (TOKEN_COUNT + 1),
    });
  });

  it('reports each chunk once when the stream repeats its events', async () => {
    engine.server.applyFault({ kind: 'duplicate' });
    const inputs = await recorder.run(createOutput());
    equal(getChunkText(inputs), TEXT);
    equal(inputs.at(-1)?.kind, 'attemptSucceeded');
  });

  FAULT_CASES.forEach((faultCase) => {
    it(`fails as ${faultCase.failure} under the fault ${faultCase.fault.kind}`, async () => {
      engine.server.applyFault(faultCase.fault);
      const inputs = await recorder.run(createOutput(faultCase.timeoutMs));
      equal((inputs.at(-1) as AttemptFailedInput).failure, faultCase.failure);
      equal(engine.server.counts.executionCount, faultCase.executionCount);
    });
  });

  it('stops a cancelled stream and reports its cost', async () => {
    engine.server.applyFault({ kind: 'slow', delayMs: 20 });
    const output = createOutput();
    recorder.sender.send(output);
    await recorder.waitUntil(() => recorder.inputs.length > 0);
    recorder.sender.cancel(output.attemptId);
    await recorder.waitUntil(() => recorder.getEnd(output) !== null);
    const end = recorder.getEnd(output) as AttemptFailedInput;
    const { billedMicros } = engine.server.counts.getReport();
    equal(end.failure, 'errored');
    ok(end.costMicros > 0 && end.costMicros < PRICE_MICROS * (TOKEN_COUNT + 1));
    equal(billedMicros['account-1/stage-1'], end.costMicros);
  });

  it('drops chunks that arrive after the cancellation', async () => {
    engine.server.applyFault({ kind: 'slow', delayMs: 10 });
    const output = createOutput();
    recorder.sender.send(output);
    await recorder.waitUntil(() => recorder.inputs.length > 0);
    recorder.sender.cancel(output.attemptId);
    const { length } = recorder.inputs;
    await recorder.waitUntil(() => recorder.getEnd(output) !== null);
    equal(recorder.inputs.length, length + 1);
  });

  it('resumes a stream from an offset', async () => {
    const answer = await post(`${engine.url}/v1/generate`, {
      attemptId: 'a', accountId: 'b', prompt: 'input', resumeFromOffset: TEXT.length - 1,
    });
    const events = (await answer.text()).trim().split('\n\n');
    equal(events.length, 1);
    ok(events[0]?.includes('"isEnd":true'));
  });

  it('runs a more urgent prompt first', async () => {
    const busy = await EngineStandin.create({ capacity: 1, tokenCount: 1, serviceMs: 20 });
    const outputs = [0, 9, 1].map((priority) => (
      recorder.createOutput({ url: busy.url, poolKind: 'engine', priority })
    ));
    await Promise.all(outputs.map((output) => recorder.run(output)));
    const ends = recorder.inputs.filter((input) => input.kind === 'attemptSucceeded');
    deepEqual(
      ends.map((end) => end.attemptId),
      [outputs[0]?.attemptId, outputs[2]?.attemptId, outputs[1]?.attemptId],
    );
    await busy.close();
  });

  [
    { checksFencing: true, statusCode: 409, acceptedCount: 1 },
    { checksFencing: false, statusCode: 200, acceptedCount: 2 },
  ].forEach(({ checksFencing, statusCode, acceptedCount }) => {
    it(`${checksFencing ? 'refuses' : 'accepts'} an order with an old fencing number`, async () => {
      const ordered = await EngineStandin.create({ checksFencing });
      const url = `${ordered.url}/v1/orders`;
      const order = { kind: 'loadModel', model: 'letters-1' };
      equal((await post(url, { order, fencingNumber: 5 })).status, 200);
      equal((await post(url, { order, fencingNumber: 4 })).status, statusCode);
      const accepted = await (await fetch(url)).json() as unknown[];
      equal(accepted.length, acceptedCount);
      await ordered.close();
    });
  });

  it('publishes cache events with gaps, and exports and imports a prefix', async () => {
    const outputs = Array.from({ length: 8 }, (_, index) => (
      { ...createOutput(), input: `prompt ${index}` }
    ));
    await Promise.all(outputs.map((output) => recorder.run(output)));
    const answer = await fetch(`${engine.url}/v1/cache-events?after=0`);
    const { events } = await answer.json() as {
      events: { sequence: number; prefixDigest: string }[];
    };
    deepEqual(events.map((event) => event.sequence), [1, 2, 3, 4, 5, 6, 8]);
    const prefixDigest = events[0]?.prefixDigest;
    const exported = await (await fetch(`${engine.url}/v1/kv-cache/${prefixDigest}`)).json();
    const other = await EngineStandin.create();
    equal((await fetch(`${other.url}/v1/kv-cache/${prefixDigest}`)).status, 404);
    equal((await post(`${other.url}/v1/kv-cache`, exported as object)).status, 200);
    equal((await fetch(`${other.url}/v1/kv-cache/${prefixDigest}`)).status, 200);
    await other.close();
  });
});
