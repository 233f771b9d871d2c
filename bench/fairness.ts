import type { BenchCell, BenchOptions, BenchReport } from './Bench.ts';
import { DEPLOYMENTS, getCapacityPerSecond, type Deployment } from './load/Deployment.ts';
import { LoadRun, type SystemKind } from './load/LoadRun.ts';
import { getAttainment, isAttained } from './load/RequestOutcome.ts';

const SYSTEMS: readonly SystemKind[] = ['core', 'baseline'];
const START_MS = 1_000;
const BURST_START_MS = 21_000;
const BURST_END_MS = 101_000;
const SETTLE_MS = 10_000;
/** Load of each account as a part of its even share of the capacity. */
const SMALL_LOAD = 0.7;
const LARGE_LOAD = 5;
const OTHERS_TARGET = 0.99;

function runCase(deployment: Deployment, system: SystemKind, seed: number): BenchCell[] {
  const loadRun = new LoadRun({ deployment, system, seed });
  const share = getCapacityPerSecond(deployment) / deployment.accountIds.length;
  const [large = '', ...others] = deployment.accountIds;
  others.forEach((id) => loadRun.addLoad(id, share * SMALL_LOAD, START_MS, BURST_END_MS));
  loadRun.addLoad(large, share * SMALL_LOAD, START_MS, BURST_START_MS);
  loadRun.addLoad(large, share * LARGE_LOAD, BURST_START_MS, BURST_END_MS);
  loadRun.events.runUntil(BURST_END_MS + SETTLE_MS);
  const burst = [...loadRun.outcomes.values()]
    .filter(({ arrivedAtMs }) => arrivedAtMs >= BURST_START_MS);
  const ofLarge = burst.filter(({ accountId }) => accountId === large);
  const ofOthers = burst.filter(({ accountId }) => accountId !== large);
  const worst = Math.min(...others.map((id) => getAttainment(
    ofOthers.filter(({ accountId }) => accountId === id),
  )));
  const seconds = (BURST_END_MS - BURST_START_MS) / 1_000;
  const goodput = burst.filter(isAttained).length / (getCapacityPerSecond(deployment) * seconds);
  return [
    deployment.name, system, getAttainment(ofOthers), worst, getAttainment(ofLarge), goodput,
  ];
}

/**
 * One account at five times its share, while the others stay within theirs.
 *
 * @param options - the seed
 * @returns the attainment of the others and of the large account
 */
export async function run(options: BenchOptions): Promise<BenchReport> {
  const rows = DEPLOYMENTS.flatMap((deployment) => SYSTEMS
    .map((system) => runCase(deployment, system, options.seed)));
  const targets = rows.filter((row) => row[1] === 'core').map((row) => ({
    name: `${row[0]}: attainment of the other accounts`,
    target: `>= ${OTHERS_TARGET}`,
    measured: Number(row[2]),
    isMet: Number(row[2]) >= OTHERS_TARGET,
  }));
  return {
    name: 'fairness',
    seed: options.seed,
    tables: [{
      title: `One account at ${LARGE_LOAD} times its share, the others at ${SMALL_LOAD} of theirs`,
      columns: [
        'deployment', 'system', 'others', 'worst other', 'large account', 'goodput / capacity',
      ],
      rows,
    }],
    targets,
  };
}
