import { deepEqual, equal } from 'node:assert/strict';
import {
  afterEach, beforeEach, describe, it,
} from 'node:test';
import { SeededRandomSource } from '../../src/lib/SeededRandomSource.ts';
import { CallBudget } from '../../src/platform/CallBudget.ts';
import { HttpKeyValueClient } from '../../src/platform/HttpKeyValueClient.ts';
import type { KeyValueAnswer, KeyValueCall } from '../../src/platform/KeyValueCall.ts';
import type { PlatformFault } from '../../standins/PlatformFault.ts';
import { PlatformStandin } from '../../standins/PlatformStandin.ts';

const KEY = 'configuration/head';
const GET: KeyValueCall = { kind: 'get', key: KEY };

function createSwap(expectedVersion: number, value: string): KeyValueCall {
  return {
    kind: 'compareAndSwap', key: KEY, expectedVersion, value,
  };
}

function createWatch(afterVersion: number, waitMs: number): KeyValueCall {
  return {
    kind: 'watch', key: KEY, afterVersion, waitMs,
  };
}

describe('the key-value service', () => {
  let platform: PlatformStandin;
  let client: HttpKeyValueClient;
  const call = (toCall: KeyValueCall) => client.call('configuration', toCall);

  beforeEach(async () => {
    platform = await PlatformStandin.create();
    client = new HttpKeyValueClient({ url: platform.url, timeoutMs: 1000 });
  });

  afterEach(async () => {
    await client.close();
    await platform.close();
  });

  it('reads the value that a swap wrote', async () => {
    deepEqual(await call(GET), { kind: 'missing' });
    const swapped = await call(createSwap(0, 'first'));
    equal(swapped.kind, 'swapped');
    deepEqual(await call(GET), { kind: 'value', version: 1, value: 'first' });
  });

  it('refuses a swap from another version and returns the current state', async () => {
    await call(createSwap(0, 'first'));
    deepEqual(
      await call(createSwap(0, 'second')),
      { kind: 'conflict', version: 1, value: 'first' },
    );
    deepEqual(
      await client.call('claim', {
        kind: 'compareAndSwap', key: 'missing', expectedVersion: 5, value: '',
      }),
      { kind: 'conflict', version: 0, value: '' },
    );
  });

  it('applies one of two concurrent swaps', async () => {
    const answers = await Promise.all([call(createSwap(0, 'a')), call(createSwap(0, 'b'))]);
    deepEqual(answers.map((answer) => answer.kind).sort(), ['conflict', 'swapped']);
  });

  it('assigns a higher version to a key that is created again', async () => {
    const leaseAnswer = await fetch(`${platform.url}/leases`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ ttlMs: 60_000 }),
    });
    const { leaseId } = await leaseAnswer.json() as { leaseId: string };
    await fetch(`${platform.url}/kv/${encodeURIComponent(KEY)}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ expectedVersion: 0, value: 'held', leaseId }),
    });
    deepEqual(await call(GET), { kind: 'value', version: 1, value: 'held' });
    await fetch(`${platform.url}/leases/${leaseId}`, { method: 'DELETE' });
    deepEqual(await call(GET), { kind: 'missing' });
    deepEqual(await call(createSwap(0, 'again')), { kind: 'swapped', version: 2 });
  });

  it('answers a watch at the next change', async () => {
    await call(createSwap(0, 'first'));
    const watch = call(createWatch(1, 5000));
    await call(createSwap(1, 'second'));
    deepEqual(await watch, { kind: 'value', version: 2, value: 'second' });
  });

  it('answers a watch at once if the version is higher, otherwise after its wait', async () => {
    await call(createSwap(0, 'first'));
    const value: KeyValueAnswer = { kind: 'value', version: 1, value: 'first' };
    deepEqual(await call(createWatch(0, 60_000)), value);
    deepEqual(await call(createWatch(1, 10)), value);
  });

  const faultCases: {
    fault: PlatformFault;
    swapAnswer: KeyValueAnswer['kind'];
    getAnswer: KeyValueAnswer['kind'];
    hasEffect: boolean;
  }[] = [
    {
      fault: { kind: 'refuse' },
      swapAnswer: 'unavailable',
      getAnswer: 'unavailable',
      hasEffect: false,
    },
    {
      fault: { kind: 'cut' },
      swapAnswer: 'unknown',
      getAnswer: 'unavailable',
      hasEffect: false,
    },
    {
      fault: { kind: 'loseAnswer' },
      swapAnswer: 'unknown',
      getAnswer: 'missing',
      hasEffect: true,
    },
    {
      fault: { kind: 'slow', delayMs: 20 },
      swapAnswer: 'swapped',
      getAnswer: 'missing',
      hasEffect: true,
    },
    {
      fault: { kind: 'slow', delayMs: 3000 },
      swapAnswer: 'unknown',
      getAnswer: 'unavailable',
      hasEffect: true,
    },
    {
      fault: { kind: 'freeze' },
      swapAnswer: 'unknown',
      getAnswer: 'unavailable',
      hasEffect: true,
    },
  ];
  faultCases.forEach(({
    fault, swapAnswer, getAnswer, hasEffect,
  }) => {
    const name = JSON.stringify(fault);
    it(`answers ${swapAnswer} to a swap, ${getAnswer} to a get under ${name}`, async () => {
      platform.applyFault(fault);
      const get = await call(GET);
      const swap = await call(createSwap(0, 'first'));
      deepEqual([get.kind, swap.kind], [getAnswer, swapAnswer]);
      platform.applyFault({ kind: 'none' });
      // The watch waits for an effect that occurs late.
      const after = await call(createWatch(0, hasEffect ? 10_000 : 10));
      equal(after.kind, hasEffect ? 'value' : 'missing');
    });
  });

  it('answers unavailable without a connection', async () => {
    await platform.close();
    equal((await call(createSwap(0, 'first'))).kind, 'unavailable');
    equal((await call(GET)).kind, 'unavailable');
  });

  it('refuses calls beyond its rate limit, without effect', async () => {
    const small = await PlatformStandin.create({ maxWritesPerSecond: 1, maxReadsPerSecond: 1 });
    const smallClient = new HttpKeyValueClient({ url: small.url });
    equal((await smallClient.call('cost', createSwap(0, 'first'))).kind, 'swapped');
    equal((await smallClient.call('cost', createSwap(1, 'second'))).kind, 'unavailable');
    equal((await smallClient.call('cost', GET)).kind, 'value');
    equal((await smallClient.call('cost', GET)).kind, 'unavailable');
    await smallClient.close();
    await small.close();
  });

  it('makes no call while the circuit breaker is open', async () => {
    const budget = new CallBudget(new SeededRandomSource(1), 0, { failureThreshold: 1 });
    const careful = new HttpKeyValueClient({ url: platform.url, budget });
    platform.applyFault({ kind: 'refuse', times: 1 });
    equal((await careful.call('lease', GET)).kind, 'unavailable');
    equal((await careful.call('lease', GET)).kind, 'unavailable');
    const counts = await (await fetch(`${platform.url}/counts`)).json() as { readCount: number };
    equal(counts.readCount, 0);
    await careful.close();
  });
});
