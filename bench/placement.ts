import type { BenchCell, BenchOptions, BenchReport } from './Bench.ts';
import { PLACEMENT_DEPLOYMENTS } from './placement/PlacementDeployment.ts';
import { PLACER_KINDS, PlacementRun, type Burst } from './placement/PlacementRun.ts';

/** A load that is played on each deployment. */
interface LoadCase {
  readonly name: string;
  readonly load: number;
  readonly bursts: readonly Burst[];
}

const DURATION_MS = 40_000;
const CASES: readonly LoadCase[] = [
  { name: 'calm', load: 1, bursts: [] },
  {
    name: 'bursts',
    load: 1,
    bursts: [
      { fromMs: 5_000, untilMs: 11_000, factor: 2.3 },
      { fromMs: 20_000, untilMs: 26_000, factor: 2.3 },
    ],
  },
  { name: 'overload', load: 2, bursts: [] },
];
const DIGITS = 3;

function round(value: number): number {
  return Number(value.toFixed(DIGITS));
}

/**
 * Compares who places generations: a host for each group, one for all, each host alone.
 *
 * @param options - `--deployment NAME` and `--placer KIND` narrow the cases
 * @returns worth, refusals, wasted stage time and processor time of each case
 */
export async function run(options: BenchOptions): Promise<BenchReport> {
  const only = options.flags.get('deployment');
  const onlyPlacer = options.flags.get('placer');
  const deployments = PLACEMENT_DEPLOYMENTS
    .filter(({ name }) => only === undefined || name === only);
  const placers = PLACER_KINDS.filter((kind) => onlyPlacer === undefined || kind === onlyPlacer);
  const rows = deployments.flatMap((deployment) => CASES.flatMap(({ name, load, bursts }) => (
    placers.map((placer): BenchCell[] => {
      const figures = new PlacementRun({
        deployment, placer, load, bursts, durationMs: DURATION_MS, seed: options.seed,
      }).run();
      return [
        deployment.name, name, placer, round(figures.worthFraction), round(figures.onTimeFraction),
        round(figures.lateFraction), round(figures.refusedFraction), round(figures.wastedFraction),
        round(figures.coordinatorMsPerRequest),
      ];
    }))));
  return {
    name: 'placement',
    seed: options.seed,
    tables: [{
      title: 'worth by deployment, load and placer',
      columns: [
        'deployment', 'load', 'placer', 'worth', 'on time', 'late', 'refused', 'wasted',
        'desk ms/request',
      ],
      rows,
    }],
    targets: [],
  };
}
