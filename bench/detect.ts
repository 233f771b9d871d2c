import { SeededRandomSource } from '../src/lib/SeededRandomSource.ts';
import type {
  BenchCell, BenchOptions, BenchReport, BenchTable,
} from './Bench.ts';
import { SCHEMES, TUNED_CHANGE, type Scheme } from './detect/schemes.ts';
import {
  drawBinomial, drawPoisson, TRAFFICS, type Traffic,
} from './detect/traffic.ts';

const HORIZON_TICKS = 600;
/** Part of the quiet runs of `HORIZON_TICKS` in which a scheme may raise an alarm. */
const FALSE_ALARM_RATE = 0.05;
const CHANGE_TICKS = [100, 300, 500];
const RAISED_RATES = [0.06, 0.1, 0.2, 0.5];
const MAX_DELAY_TICKS = 400;
const DEFAULT_REPLICATES = 1_000;

interface Tick {
  readonly offered: number;
  readonly errors: number;
}

interface Delay {
  readonly ticks: number;
  readonly attempts: number;
}

function getMean(values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;
}

function getQuantile(values: readonly number[], quantile: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
}

function drawTick(traffic: Traffic, tick: number, rate: number, random: SeededRandomSource): Tick {
  const offered = drawPoisson(traffic.getMean(tick), random);
  return { offered, errors: drawBinomial(offered, rate, random) };
}

/** The highest level in a run without a change: the run alarms at any threshold up to it. */
function getQuietPeak(scheme: Scheme, traffic: Traffic, seed: number): number {
  const random = new SeededRandomSource(seed);
  const detector = scheme.create(Infinity);
  let peak = 0;
  for (let tick = 0; tick < HORIZON_TICKS; tick += 1) {
    const { offered, errors } = drawTick(traffic, tick, TUNED_CHANGE.baseRate, random);
    detector.addTick(offered, errors);
    peak = Math.max(peak, scheme.getLevel(detector, offered));
  }
  return peak;
}

function getQuietPeaks(scheme: Scheme, traffic: Traffic, options: RunOptions): number[] {
  return Array.from(
    { length: options.replicates },
    (_, index) => getQuietPeak(scheme, traffic, options.seed + index),
  );
}

interface RunOptions {
  readonly seed: number;
  readonly replicates: number;
}

interface Change {
  readonly traffic: Traffic;
  readonly changeTick: number;
  readonly raisedRate: number;
}

/** The delay of one run with a change; null when the alarm came before the change. */
function getDelay(scheme: Scheme, threshold: number, change: Change, seed: number): Delay | null {
  const random = new SeededRandomSource(seed);
  const detector = scheme.create(threshold);
  for (let tick = 0; tick < change.changeTick; tick += 1) {
    const { offered, errors } = drawTick(change.traffic, tick, TUNED_CHANGE.baseRate, random);
    if (detector.addTick(offered, errors)) {
      return null;
    }
  }
  let attempts = 0;
  for (let ticks = 1; ticks <= MAX_DELAY_TICKS; ticks += 1) {
    const tick = change.changeTick + ticks - 1;
    const { offered, errors } = drawTick(change.traffic, tick, change.raisedRate, random);
    attempts += offered;
    if (detector.addTick(offered, errors)) {
      return { ticks, attempts };
    }
  }
  return { ticks: MAX_DELAY_TICKS, attempts };
}

function getDelays(
  scheme: Scheme,
  threshold: number,
  change: Change,
  options: RunOptions,
): Delay[] {
  const firstSeed = options.seed + options.replicates;
  return Array.from(
    { length: options.replicates },
    (_, index) => getDelay(scheme, threshold, change, firstSeed + index),
  ).filter((delay) => delay !== null);
}

function getDelayRow(
  scheme: Scheme,
  getThreshold: (traffic: Traffic) => number,
  raisedRate: number,
  options: RunOptions,
): BenchCell[] {
  const cells = TRAFFICS.flatMap((traffic) => {
    const delays = CHANGE_TICKS.flatMap((changeTick) => getDelays(
      scheme,
      getThreshold(traffic),
      { traffic, changeTick, raisedRate },
      options,
    ));
    return [
      getMean(delays.map((delay) => delay.ticks)),
      getMean(delays.map((delay) => delay.attempts)),
    ];
  });
  const ticks = getMean(cells.filter((_, index) => index % 2 === 0));
  const attempts = getMean(cells.filter((_, index) => index % 2 === 1));
  return [raisedRate, scheme.name, ...cells, ticks, attempts];
}

const DELAY_COLUMNS = [
  'raised rate',
  'scheme',
  ...TRAFFICS.flatMap(({ name }) => [`${name}: ticks`, `${name}: attempts`]),
  'mean ticks',
  'mean attempts',
];

function createDelayTable(
  title: string,
  getThreshold: (scheme: Scheme, traffic: Traffic) => number,
  options: RunOptions,
): BenchTable {
  const rows = RAISED_RATES.flatMap((raisedRate) => SCHEMES.map((scheme) => (
    getDelayRow(scheme, (traffic) => getThreshold(scheme, traffic), raisedRate, options)
  )));
  return { title, columns: DELAY_COLUMNS, rows };
}

/**
 * Compares the paper's schemes with plain windows at equal false-alarm rates: delays from the
 * change of the error rate to the alarm, over changes at several times of each kind of traffic.
 *
 * @param options - `--replicates N` runs for each cell
 * @returns the thresholds and the delays
 */
export async function run(options: BenchOptions): Promise<BenchReport> {
  const replicates = Number(options.flags.get('replicates') ?? DEFAULT_REPLICATES);
  const runOptions = { seed: options.seed, replicates };
  const ownThresholds = new Map<string, number>();
  const commonThresholds = new Map<string, number>();
  const alarmRows = SCHEMES.map((scheme): BenchCell[] => {
    const peaks = TRAFFICS.map((traffic) => getQuietPeaks(scheme, traffic, runOptions));
    const threshold = getQuantile(peaks.flat(), 1 - FALSE_ALARM_RATE);
    commonThresholds.set(scheme.name, threshold);
    TRAFFICS.forEach((traffic, index) => {
      const ownThreshold = getQuantile(peaks[index] ?? [], 1 - FALSE_ALARM_RATE);
      ownThresholds.set(`${scheme.name}/${traffic.name}`, ownThreshold);
    });
    const rates = peaks.map((each) => getMean(each.map((peak) => (peak >= threshold ? 1 : 0))));
    const thresholds = TRAFFICS.map(({ name }) => ownThresholds.get(`${scheme.name}/${name}`) ?? 0);
    return [scheme.name, ...thresholds, threshold, ...rates];
  });
  return {
    name: 'detect',
    seed: options.seed,
    tables: [
      {
        title: `Thresholds for alarms in ${FALSE_ALARM_RATE} of ${replicates} quiet runs of `
          + `${HORIZON_TICKS} ticks, and the alarm rates under the common threshold`,
        columns: [
          'scheme',
          ...TRAFFICS.map(({ name }) => `own: ${name}`),
          'common',
          ...TRAFFICS.map(({ name }) => `alarms: ${name}`),
        ],
        rows: alarmRows,
      },
      createDelayTable(
        'Delay with a threshold of its own for each kind of traffic',
        (scheme, traffic) => ownThresholds.get(`${scheme.name}/${traffic.name}`) ?? Infinity,
        runOptions,
      ),
      createDelayTable(
        'Delay with one threshold for all kinds of traffic',
        (scheme) => commonThresholds.get(scheme.name) ?? Infinity,
        runOptions,
      ),
    ],
    targets: [],
  };
}
