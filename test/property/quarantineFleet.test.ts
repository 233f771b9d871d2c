import { deepEqual, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { SeededRandomSource } from '../../src/lib/SeededRandomSource.ts';
import { CONTACT_MS, QuarantineFleetModel, type ModelOutcome } from './QuarantineFleetModel.ts';

const HOST_COUNT = 8;
const UPSTREAM_COUNT = 12;
/** Times that a request may reach upstreams later than hosts have to know of its third crash. */
const MAX_LATE_ARRIVALS = 3;
const CRASHING_EVERY_MS = 700;
const POPULAR_EVERY_MS = 35;
const CRASHING = ['crash 1', 'crash 2'];
const FAULTS_UNTIL_MS = 40_000;
const MAX_FAULT_MS = 4_500;
/** Time after the last trouble in which service has to be back. */
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

interface FleetRun {
  readonly model: QuarantineFleetModel;
  /** What became of a request that all callers send all the time, by the time of its sending. */
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
      // eslint-disable-next-line no-await-in-loop -- the pause is the point
      await time.sleep(everyMs * (0.5 + random.getFraction()));
    }
  };
  CRASHING.forEach((body) => repeat(CRASHING_EVERY_MS, END_MS, () => model.send(pickHost(), body)));
  repeat(POPULAR_EVERY_MS, END_MS, () => {
    const atMs = time.nowMs;
    model.send(pickHost(), 'popular').then((outcome) => popular.push({ atMs, outcome }));
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
    .filter((arrival) => arrival.body === body && arrival.atMs > dueAtMs && arrival.isInContact)
    .length;
}

describe('hosts that share what requests have done to upstreams', () => {
  Array.from({ length: 12 }, (_, index) => index + 1).forEach((seed) => {
    it(`keep requests that end upstreams away, and no others, seed ${seed}`, async () => {
      const { model, popular } = await runFleet(seed, FAULTS);
      CRASHING.forEach((body) => {
        const lateCount = countLate(model, body);
        ok(lateCount <= MAX_LATE_ARRIVALS, `${body}: ${lateCount} late arrivals`);
      });
      const unserved = popular
        .filter(({ atMs, outcome }) => (
          atMs > FAULTS_UNTIL_MS + MAX_FAULT_MS + RECOVERY_MS && outcome !== 'answered'));
      deepEqual(unserved, []);
    });
  });

  it('serve a request that was there whenever an upstream ended by itself', async () => {
    const { popular } = await runFleet(99, [(model) => model.endUpstreams(0.1)]);
    const refused = popular.filter(({ outcome }) => outcome === 'refused');
    deepEqual(refused, []);
  });
});
