// Guards against requests that a host passes on being decided by a configuration that is older than
// its own.
import { deepEqual, equal } from 'node:assert/strict';
import { performance } from 'node:perf_hooks';
import { afterEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import type { ServingConfiguration } from '../directory/ServingConfiguration.ts';
import { SPARE_POOL_ID, StrandedFleet } from '../../test/support/StrandedFleet.ts';

/** Time after which a host must know that it reaches no upstream. */
const CONTACT_MS = 3_000;
/** Time in which a host with a path to the store adopts a change in these tests. */
const ADOPT_MS = 200;
const PROBE_COUNT = 12;
const STATUS_OK = 200;
const STATUS_UNAUTHORIZED = 401;
/** Time after which a host has noticed that the store is silent, and has asked another host. */
const SILENCE_KNOWN_MS = 6_000;

interface Change {
  readonly title: string;
  readonly apply: (configuration: ServingConfiguration) => Partial<ServingConfiguration>;
  readonly path: string;
  readonly key: string;
  /** What the newer version says of the request. */
  readonly expected: { readonly status: number; readonly poolId: string | null };
}

const CHANGES: readonly Change[] = [
  {
    title: 'dropped the key of its caller',
    apply: ({ accountsByKey }) => ({
      accountsByKey: new Map([...accountsByKey ?? []].filter(([key]) => key !== 'key-2')),
    }),
    path: '/once/',
    key: 'key-2',
    expected: { status: 401, poolId: null },
  },
  {
    title: 'added the key of its caller',
    apply: ({ accountsByKey }) => ({
      accountsByKey: new Map([...accountsByKey ?? [], ['key-3', { name: 'c', priority: null }]]),
    }),
    path: '/once/',
    key: 'key-3',
    expected: { status: 200, poolId: 'pool' },
  },
  {
    title: 'dropped its route',
    apply: ({ routes }) => ({ routes: routes.filter(({ name }) => name !== 'safe') }),
    path: '/safe/',
    key: 'key',
    expected: { status: 404, poolId: null },
  },
  {
    title: 'added its route',
    apply: ({ routes }) => ({
      routes: [...routes, ...routes.slice(0, 1).map((route) => ({
        ...route, name: 'added', pathPrefix: '/added/',
      }))],
    }),
    path: '/added/',
    key: 'key',
    expected: { status: 200, poolId: 'pool' },
  },
  {
    title: 'moved its route to another pool',
    apply: ({ routes }) => ({
      routes: routes.map((route) => (route.name === 'safe'
        ? { ...route, targets: [{ poolId: SPARE_POOL_ID, weight: 1 }] }
        : route)),
    }),
    path: '/safe/',
    key: 'key',
    expected: { status: 200, poolId: 'spare' },
  },
];

let fleet: StrandedFleet | null = null;

async function startFleet(hostCount: number): Promise<StrandedFleet> {
  fleet = new StrandedFleet();
  await fleet.start(hostCount, (_request, response) => response.end('ran'));
  fleet.configure(({ accountsByKey, pools, callerLimits }) => ({
    callerLimits: { ...callerLimits, maxBodyBytes: 1_000 },
    accountsByKey: new Map([...accountsByKey ?? [], ['key-2', { name: 'b', priority: null }]]),
    pools: new Map([...pools, ...[...pools.values()].map((pool) => (
      [SPARE_POOL_ID, { ...pool, id: SPARE_POOL_ID }] as const))]),
  }));
  await sleep(ADOPT_MS);
  return fleet;
}

/** Cuts host 0 off from all upstreams, and waits until other hosts serve its requests. */
async function strand(target: StrandedFleet): Promise<void> {
  target.cut(0, 'refused');
  const untilMs = performance.now() + CONTACT_MS;
  const served = new Set<number>();
  for (let index = 0; performance.now() < untilMs && !served.has(STATUS_OK); index += 1) {
    target.send(0, '/once/', `before-${index}`).then(({ status }) => served.add(status), () => {});
    // eslint-disable-next-line no-await-in-loop -- requests come at intervals
    await sleep(100);
  }
}

/** Sends requests whose handling has changed, and ones of an unchanged route beside them. */
async function probe(target: StrandedFleet, { path, key }: Change, name: string): Promise<{
  readonly outcomes: readonly unknown[];
  readonly servedCount: number;
}> {
  const results = await Promise.all(Array.from({ length: PROBE_COUNT }, async (_, index) => {
    await sleep(index * 20);
    const id = `${name}-${index}`;
    const [probed, usual] = await Promise.all([
      target.send(0, path, id, key), target.send(0, '/once/', `usual-${id}`),
    ]);
    return {
      outcome: { status: probed.status, poolId: target.runPools.get(id) ?? null },
      isServed: usual.status === STATUS_OK,
    };
  }));
  return {
    outcomes: results.map(({ outcome }) => outcome),
    servedCount: results.filter(({ isServed }) => isServed).length,
  };
}

describe('a request that is passed on', () => {
  afterEach(async () => {
    await fleet?.close();
  });

  CHANGES.forEach((change) => {
    [[1], [1, 2]].forEach((staleHosts) => {
      const who = staleHosts.length === 1 ? 'one host' : 'all other hosts';
      it(`is not decided by an older version that ${change.title}, ${who} behind`, async () => {
        const target = await startFleet(3);
        await strand(target);
        staleHosts.forEach((index) => target.cutStore(index, true));
        target.configure(change.apply);
        await sleep(ADOPT_MS);
        const { outcomes, servedCount } = await probe(target, change, 'probe');
        deepEqual(outcomes, outcomes.map(() => change.expected));
        equal(servedCount, PROBE_COUNT, 'requests on unchanged routes are served');
      });
    });
  });

  it('is not refused by the size limits of an older version', async () => {
    const target = await startFleet(2);
    await strand(target);
    target.cutStore(1, true);
    target.configure(({ callerLimits }) => ({
      callerLimits: { ...callerLimits, maxBodyBytes: 4_000 },
    }));
    await sleep(ADOPT_MS);
    const { status } = await target.send(0, '/once/', 'large', 'key', 'b'.repeat(2_000));
    equal(status, STATUS_OK);
  });

  it('is not decided by an older version than its host has served by before', async () => {
    const target = await startFleet(3);
    const [, , , , moved] = CHANGES;
    if (moved === undefined) {
      throw new RangeError('there is no such change');
    }
    target.cutStore(1, true);
    target.configure(moved.apply);
    await sleep(ADOPT_MS);
    equal((await probe(target, moved, 'served')).servedCount, PROBE_COUNT);
    await strand(target);
    const { outcomes, servedCount } = await probe(target, moved, 'probe');
    deepEqual(outcomes, outcomes.map(() => moved.expected));
    equal(servedCount, PROBE_COUNT);
  });
});

describe('a request to a host that the store does not answer', () => {
  afterEach(async () => {
    await fleet?.close();
  });

  it('is decided by the newer version that other hosts have', async () => {
    const target = await startFleet(2);
    target.cutStore(1, true);
    target.configure(({ accountsByKey }) => ({
      accountsByKey: new Map([...accountsByKey ?? []].filter(([key]) => key !== 'key-2')),
    }));
    const untilMs = performance.now() + SILENCE_KNOWN_MS;
    const statuses = new Set<number>();
    while (performance.now() < untilMs && !statuses.has(STATUS_UNAUTHORIZED)) {
      // eslint-disable-next-line no-await-in-loop -- polls
      statuses.add((await target.send(1, '/once/', `own-${statuses.size}`, 'key-2')).status);
      // eslint-disable-next-line no-await-in-loop -- polls
      await sleep(100);
    }
    equal(statuses.has(STATUS_UNAUTHORIZED), true);
  });
});
