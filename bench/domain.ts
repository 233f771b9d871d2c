import type { DrainRecord } from '../src/configuration/records/DrainRecord.ts';
import type {
  BenchCell, BenchOptions, BenchReport, BenchTarget,
} from './Bench.ts';
import { DEPLOYMENTS, getCapacityPerSecond, type Deployment } from './load/Deployment.ts';
import { LoadRun, type SystemKind } from './load/LoadRun.ts';
import { getAttainment } from './load/RequestOutcome.ts';

const SYSTEMS: readonly SystemKind[] = ['core', 'baseline'];
const START_MS = 1_000;
const DRAINED_AT_MS = 30_000;
const RESTORED_AT_MS = 90_000;
const END_MS = 180_000;
const SETTLE_MS = 10_000;
/** Time from the confirmation until every host has the configuration. */
const CONFIGURATION_DELAY_MS = 1_000;
const GRACE_MS = 3_000;
/** A part of what the domains that stay can carry. */
const LOAD_OF_REMAINING = 0.8;
const ATTAINMENT_TARGET = 0.99;
const DOMAIN = 'domain-a';
const DRAINS: DrainRecord[] = [{ kind: 'failureDomain', id: DOMAIN }];

interface Measured {
  readonly attainment: number;
  readonly attainmentAround: number;
  readonly lateWork: number;
  readonly coldOverloads: number;
  readonly lost: number;
  readonly doubled: number;
  /** Part of the domain's engines' slots in use at the end. */
  readonly restoredSlotUse: number;
}

function isInDrainedDomain(id: string): boolean {
  return Number(id.slice(id.lastIndexOf('-') + 1)) % 3 === 0;
}

function countDoubled(loadRun: LoadRun): number {
  const counts = new Map<string, number>();
  [...loadRun.upstreams.values()]
    .filter(({ id }) => id.startsWith('ledger'))
    .forEach(({ runCounts: runs }) => runs.forEach((count, key) => {
      counts.set(key, (counts.get(key) ?? 0) + count);
    }));
  return [...counts.values()].filter((count) => count > 1).length;
}

function runCase(deployment: Deployment, system: SystemKind, seed: number): Measured {
  const loadRun = new LoadRun({ deployment, system, seed });
  const engines = [...loadRun.upstreams.values()].filter(({ id }) => id.startsWith('engines'));
  const left = engines.filter(({ id }) => !isInDrainedDomain(id)).length / engines.length;
  const perSecond = getCapacityPerSecond(deployment) * left * LOAD_OF_REMAINING;
  deployment.accountIds.forEach((id) => {
    loadRun.addLoad(id, perSecond / deployment.accountIds.length, START_MS, END_MS);
  });
  let lateWork = 0;
  let returnedUse = 0;
  const members = [...loadRun.upstreams.values()].filter(({ id }) => isInDrainedDomain(id));
  loadRun.events.after(DRAINED_AT_MS - START_MS, () => loadRun.setDrains(DRAINS, CONFIGURATION_DELAY_MS));
  loadRun.events.after(DRAINED_AT_MS - START_MS + CONFIGURATION_DELAY_MS, () => loadRun.avoidedDomains.add(DOMAIN));
  loadRun.events.after(RESTORED_AT_MS - START_MS - 1, () => {
    lateWork = members
      .filter(({ lastReceivedAtMs }) => lastReceivedAtMs > DRAINED_AT_MS + GRACE_MS).length;
    members.forEach((member) => member.restart());
  });
  loadRun.events.after(RESTORED_AT_MS - START_MS, () => {
    loadRun.setDrains([], CONFIGURATION_DELAY_MS);
  });
  // The platform's balancer follows the hosts' readiness.
  loadRun.events.after(RESTORED_AT_MS - START_MS + 2 * CONFIGURATION_DELAY_MS, () => loadRun.avoidedDomains.clear());
  loadRun.events.after(END_MS - START_MS - 1, () => {
    const returned = engines.filter(({ id }) => isInDrainedDomain(id));
    returnedUse = returned.reduce((sum, each) => sum + each.runningCount, 0) / returned.length;
  });
  loadRun.events.runUntil(END_MS + SETTLE_MS);
  const all = [...loadRun.outcomes.values()];
  const around = all.filter(({ arrivedAtMs }) => (
    (arrivedAtMs >= DRAINED_AT_MS - SETTLE_MS && arrivedAtMs < DRAINED_AT_MS + SETTLE_MS)
    || (arrivedAtMs >= RESTORED_AT_MS - SETTLE_MS && arrivedAtMs < RESTORED_AT_MS + 2 * SETTLE_MS)));
  return {
    attainment: getAttainment(all),
    attainmentAround: getAttainment(around),
    lateWork,
    coldOverloads: engines.concat(members)
      .reduce((sum, each) => sum + each.coldOverloadCount, 0),
    lost: all.filter(({ answers }) => answers.length === 0).length,
    doubled: countDoubled(loadRun) + all.filter(({ answers }) => answers.length > 1).length,
    restoredSlotUse: returnedUse,
  };
}

function createTargets(name: string, measured: Measured): BenchTarget[] {
  const zeros = [
    ['upstreams with new work later than 3 s', measured.lateWork],
    ['cold overload events', measured.coldOverloads],
    ['requests lost or doubled', measured.lost + measured.doubled],
  ] as const;
  return [
    {
      name: `${name}: attainment`,
      target: `>= ${ATTAINMENT_TARGET}`,
      measured: measured.attainment,
      isMet: measured.attainment >= ATTAINMENT_TARGET,
    },
    ...zeros.map(([what, value]) => ({
      name: `${name}: ${what}`, target: '0', measured: value, isMet: value === 0,
    })),
  ];
}

/**
 * A failure domain leaves under load and returns with cold upstreams.
 *
 * @param options - the seed
 * @returns attainment, late work, cold overloads, lost and doubled requests
 */
export async function run(options: BenchOptions): Promise<BenchReport> {
  const rows: BenchCell[][] = [];
  const targets: BenchTarget[] = [];
  DEPLOYMENTS.forEach((deployment) => SYSTEMS.forEach((system) => {
    const measured = runCase(deployment, system, options.seed);
    rows.push([deployment.name, system, ...Object.values(measured)]);
    if (system === 'core') {
      targets.push(...createTargets(deployment.name, measured));
    }
  }));
  return {
    name: 'domain',
    seed: options.seed,
    tables: [{
      title: `A failure domain out and back, at ${LOAD_OF_REMAINING} of what the others carry`,
      columns: [
        'deployment', 'system', 'attainment', 'around the changes', 'late work',
        'cold overloads', 'lost', 'doubled', 'slots used per returned engine',
      ],
      rows,
    }],
    targets,
  };
}
