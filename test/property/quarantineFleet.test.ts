import { deepEqual, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { SeededRandomSource } from '../../src/lib/SeededRandomSource.ts';
import { CONTACT_MS, QuarantineFleetModel, type ModelOutcome } from './QuarantineFleetModel.ts';

const HOST_COUNT = 8;
const UPSTREAM_COUNT = 12;
/** Arrivals of a request allowed after the time when hosts have to know of its third crash. */
const MAX_LATE_ARRIVALS = 3;
const CRASHING_EVERY_MS = 700;
const POPULAR_EVERY_MS = 35;
const CRASHING = ['crash 1', 'crash 2'];
const FAULTS_UNTIL_MS = 40_000;
const MAX_FAULT_MS = 4_500;
/** Time after the last fault within which requests have to be served again. */
const RECOVERY_MS = 12_000;
const END_MS = 70_000;

type Fault = (model: QuarantineFleetModel, pick: number, durationMs: number) => void;

const FAULTS: readonly Fault[] = [
  (model, pick) => model.restartHost(pick),
  (model) => Array.from({ length: model.hostCount }, (_, index) => model.restartHost(index)),
  (model, pick, durationMs) => model.cutHost(pick, durationMs),
  (model, _pick, durationMs) => model.stopStore(durationMs),
  (model) => model.endUpstreams(0.4),
  (model) => model.endUpstreams(1),
];

const MAX_LOST_CHANGES = 20;
const STORE_COPIES: readonly Fault[] = Array.from({ length: 3 }, () => (
  (model, pick, durationMs) => model.restoreStore(durationMs, pick * MAX_LOST_CHANGES)));

interface FleetRun {
  readonly model: QuarantineFleetModel;
  /** Outcomes of a request that callers send all the time, with the time of each send. */
  readonly popular: { readonly atMs: number; readonly outcome: ModelOutcome }[];
}

async function runFleet(seed: number, faults: readonly Fault[]): Promise<FleetRun> {
  const random = new SeededRandomSource(seed);
  const model = new QuarantineFleetModel(random, HOST_COUNT, UPSTREAM_COUNT);
  const popular: FleetRun['popular'] = [];
  const { time } = model;
  const pickHost = (): number => Math.floor(random.getFraction() * HOST_COUNT);
  const repeat = async (
    everyMs: number,
    untilMs: number,
    action: () => void,
  ): Promise<void> => {
    while (time.nowMs < untilMs) {
      action();
      // eslint-disable-next-line no-await-in-loop -- simulates the interval
      await time.sleep(everyMs * (0.5 + random.getFraction()));
    }
  };
  CRASHING.forEach((body) => (
    repeat(CRASHING_EVERY_MS, END_MS, () => model.send(pickHost(), { body }))));
  repeat(POPULAR_EVERY_MS, END_MS, () => {
    const atMs = time.nowMs;
    model.send(pickHost(), { body: 'popular' }).then((outcome) => popular.push({ atMs, outcome }));
  });
  repeat(1_500, FAULTS_UNTIL_MS, () => {
    const fault = faults[Math.floor(random.getFraction() * faults.length)];
    fault?.(model, pickHost(), random.getFraction() * MAX_FAULT_MS);
  });
  await time.run(END_MS + 1_000);
  return { model, popular };
}

function countLate({ arrivals, crashTimesMs }: QuarantineFleetModel, body: string): number {
  const dueAtMs = (crashTimesMs.get(body)?.[2] ?? Infinity) + CONTACT_MS;
  return arrivals
    .filter((arrival) => arrival.cause === body && arrival.atMs > dueAtMs && arrival.isInContact)
    .length;
}

function findUnserved(popular: FleetRun['popular']): FleetRun['popular'] {
  return popular.filter(({ atMs, outcome }) => (
    atMs > FAULTS_UNTIL_MS + MAX_FAULT_MS + RECOVERY_MS && outcome !== 'answered'));
}

describe('hosts that share the crashes caused by requests', () => {
  Array.from({ length: 12 }, (_, index) => index + 1).forEach((seed) => {
    it(`refuse requests that crash upstreams, and no others, seed ${seed}`, async () => {
      const { model, popular } = await runFleet(seed, FAULTS);
      CRASHING.forEach((body) => {
        const lateCount = countLate(model, body);
        ok(lateCount <= MAX_LATE_ARRIVALS, `${body}: ${lateCount} late arrivals`);
      });
      deepEqual(findUnserved(popular), []);
    });
  });

  Array.from({ length: 12 }, (_, index) => index + 1).forEach((seed) => {
    it(`keep that when the store comes back from older copies, seed ${seed}`, async () => {
      const { model, popular } = await runFleet(seed, [...FAULTS, ...STORE_COPIES]);
      ok(model.store.era > 1, 'the store never came back from a copy');
      CRASHING.forEach((body) => {
        const lateCount = countLate(model, body);
        ok(lateCount <= MAX_LATE_ARRIVALS, `${body}: ${lateCount} late arrivals`);
      });
      deepEqual(findUnserved(popular), []);
    });
  });

  it('serve a request that ran whenever an upstream crashed for another reason', async () => {
    const { popular } = await runFleet(99, [(model) => model.endUpstreams(0.1)]);
    const refused = popular.filter(({ outcome }) => outcome === 'refused');
    deepEqual(refused, []);
  });
});
