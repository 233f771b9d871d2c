import { equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { SeededRandomSource } from '../../src/lib/SeededRandomSource.ts';
import { CONTACT_MS, QuarantineFleetModel, type ModelOutcome } from './QuarantineFleetModel.ts';

const HOST_COUNT = 6;
const UPSTREAM_COUNT = 8;
/** Crash from which on the hosts have {@link CONTACT_MS} to learn of the part. */
const DECISIVE_CRASH = 5;
/** Sends of requests with the part that are allowed after that. */
const MAX_LATE_ARRIVALS = 3;
/** Part that all requests of the kind begin with, those with the crashing part too. */
const FIRST_PART = 'first';
const DOCUMENT_COUNT = 8;
const ALONE_DOCUMENT = 'document of the crashing part';
const SOUND_EVERY_MS = 120;
const CRASHING_FROM_MS = 4_000;
const END_MS = 40_000;
/** Fraction of the sound requests that have to be served while such requests still come. */
const MIN_SERVED_FRACTION = 0.5;
/** Sound requests in that time below which the fraction is not judged, as by the users' rule. */
const MIN_JUDGED_COUNT = 20;
const SEED_COUNT = 12;
const FAULT_EVERY_MS = 2_500;
const MAX_FAULT_MS = 4_500;

type Fault = (model: QuarantineFleetModel, pick: number, durationMs: number) => void;

const UPSTREAM_CRASHES: readonly Fault[] = [(model) => model.endUpstreams(0.1)];
const FAULTS: readonly Fault[] = [
  (model, pick) => model.restartHost(pick),
  (model) => Array.from({ length: model.hostCount }, (_, index) => model.restartHost(index)),
  (model, pick, durationMs) => model.cutHost(pick, durationMs),
  (model, _pick, durationMs) => model.stopStore(durationMs),
  (model) => model.endUpstreams(0.3),
];

interface PartRunOptions {
  readonly seed: number;
  /** Mean time between requests with a crashing part. */
  readonly crashingEveryMs: number;
  readonly crashingParts: readonly string[];
  /** Faults to draw from. */
  readonly faults: readonly Fault[];
}

interface PartRun {
  readonly model: QuarantineFleetModel;
  /** Outcomes of the requests without a crashing part, with the time of each send. */
  readonly sound: { readonly atMs: number; readonly outcome: ModelOutcome }[];
}

async function runFleet({
  seed, crashingEveryMs, crashingParts, faults,
}: PartRunOptions): Promise<PartRun> {
  const random = new SeededRandomSource(seed);
  const model = new QuarantineFleetModel(random, HOST_COUNT, UPSTREAM_COUNT);
  const sound: PartRun['sound'] = [];
  const { time } = model;
  let requestCount = 0;
  const pick = (count: number): number => Math.floor(random.getFraction() * count);
  const send = (sharedPartIds: readonly string[]): Promise<ModelOutcome> => {
    requestCount += 1;
    return model.send(pick(HOST_COUNT), { body: `request ${requestCount}`, sharedPartIds });
  };
  const repeat = async (fromMs: number, everyMs: number, action: () => void): Promise<void> => {
    await time.sleep(fromMs);
    while (time.nowMs < END_MS) {
      action();
      // eslint-disable-next-line no-await-in-loop -- simulates the interval
      await time.sleep(everyMs * (0.5 + random.getFraction()));
    }
  };
  repeat(0, SOUND_EVERY_MS, () => {
    const atMs = time.nowMs;
    send([FIRST_PART, `document ${pick(DOCUMENT_COUNT)}`])
      .then((outcome) => sound.push({ atMs, outcome }));
  });
  crashingParts.forEach((part, index) => repeat(CRASHING_FROM_MS, crashingEveryMs, () => {
    // Half of the parts come with a document that no sound request has.
    const document = index % 2 === 0 ? ALONE_DOCUMENT : `document ${pick(DOCUMENT_COUNT)}`;
    send([FIRST_PART, document, part]);
  }));
  repeat(0, FAULT_EVERY_MS, () => (
    faults[pick(faults.length)]?.(model, pick(HOST_COUNT), random.getFraction() * MAX_FAULT_MS)));
  await time.run(END_MS + 1_000);
  return { model, sound };
}

function getDecisiveMs({ crashTimesMs }: QuarantineFleetModel, part: string): number {
  return crashTimesMs.get(part)?.[DECISIVE_CRASH - 1] ?? Infinity;
}

function countLate(model: QuarantineFleetModel, part: string): number {
  const dueAtMs = getDecisiveMs(model, part) + CONTACT_MS;
  return model.arrivals
    .filter(({ cause, atMs, isInContact }) => cause === part && atMs > dueAtMs && isInContact)
    .length;
}

function getServedFraction({ model, sound }: PartRun, parts: readonly string[]): number {
  const fromMs = Math.max(...parts.map((part) => (
    getDecisiveMs(model, part) === Infinity
      ? model.crashTimesMs.get(part)?.at(-1) ?? 0
      : getDecisiveMs(model, part)))) + 2 * CONTACT_MS;
  const judged = sound.filter(({ atMs }) => atMs > fromMs);
  return judged.length < MIN_JUDGED_COUNT
    ? 1
    : judged.filter(({ outcome }) => outcome !== 'refused').length / judged.length;
}

function assertPartsStopped(run: PartRun, parts: readonly string[], seed: number): void {
  parts.forEach((part) => {
    const lateCount = countLate(run.model, part);
    ok(lateCount <= MAX_LATE_ARRIVALS, `seed ${seed}, ${part}: ${lateCount} late arrivals`);
  });
  const fraction = getServedFraction(run, parts);
  ok(fraction >= MIN_SERVED_FRACTION, `seed ${seed}: ${fraction} of the sound requests were sent`);
}

/** Runs one simulation after the other, since they share the process. */
async function runSeeds(run: (seed: number) => Promise<void>): Promise<void> {
  for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
    // eslint-disable-next-line no-await-in-loop -- see above
    await run(seed);
  }
}

describe('hosts that share the crashes caused by a part of prompts', () => {
  [3_000, 600, 250].forEach((crashingEveryMs) => {
    it(`stop requests with that part, one each ${crashingEveryMs} ms`, () => (
      runSeeds(async (seed) => {
        const crashingParts = ['crash a'];
        const run = await runFleet({
          seed, crashingEveryMs, crashingParts, faults: [],
        });
        assertPartsStopped(run, crashingParts, seed);
      })));
  });

  it('stop two such parts while hosts, upstreams and the store fail', () => (
    runSeeds(async (seed) => {
      const crashingParts = ['crash a', 'crash b'];
      const run = await runFleet({
        seed, crashingEveryMs: 800, crashingParts, faults: FAULTS,
      });
      assertPartsStopped(run, crashingParts, seed);
    })));

  it('refuse no part that was there when upstreams crashed for another reason', () => (
    runSeeds(async (seed) => {
      const { sound } = await runFleet({
        seed, crashingEveryMs: 0, crashingParts: [], faults: UPSTREAM_CRASHES,
      });
      equal(sound.filter(({ outcome }) => outcome === 'refused').length, 0, `seed ${seed}`);
    })));
});
