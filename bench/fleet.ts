import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { Fleet, type FleetHost } from '../scripts/fleet/Fleet.ts';
import type { DeploymentDescription } from '../standins/deployments/DeploymentDescription.ts';
import { MIDLANDS_DEPLOYMENT } from '../standins/deployments/MIDLANDS_DEPLOYMENT.ts';
import type { PlatformCountsReport } from '../standins/PlatformCounts.ts';
import type { BenchCell, BenchOptions, BenchReport } from './Bench.ts';
import { measureChange } from './fleet/measureChange.ts';
import { readHostFigures, type HostFigures } from './fleet/readHostFigures.ts';
import { runSequentially } from './fleet/runSequentially.ts';

const MS_PER_S = 1000;
const BYTES_PER_MB = 1024 * 1024;
const DEFAULT_HOST_COUNTS = '6,8,16,32';
const DEFAULT_SECONDS = 20;
const DEFAULT_UPSTREAMS_PER_POOL = 2;
const CHANGE_COUNT = 10;
const KILLED_FRACTION = 0.1;
const SETTLE_MS = 8000;
const IN_FORCE_TARGET_MS = 2000;

function getMedian(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? NaN;
}

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function round(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}

function createDeployment(upstreamCount: number): DeploymentDescription {
  const pools = MIDLANDS_DEPLOYMENT.pools.map((pool) => ({ ...pool, upstreamCount }));
  return { ...MIDLANDS_DEPLOYMENT, pools };
}

async function readPlatformCounts(fleet: Fleet): Promise<PlatformCountsReport> {
  const response = await request(`${fleet.platformUrl}/counts`);
  return await response.body.json() as PlatformCountsReport;
}

/** Measures what the hosts spend without any request. */
async function measureIdle(fleet: Fleet, seconds: number): Promise<BenchCell[]> {
  const readAll = () => Promise.all(fleet.hosts.map(readHostFigures));
  const before = await readAll();
  const platformBefore = await readPlatformCounts(fleet);
  await sleep(seconds * MS_PER_S);
  const after = await readAll();
  const platformAfter = await readPlatformCounts(fleet);
  const getRates = (name: string) => after.map((figures: HostFigures, index) => (
    ((figures.get(name) ?? NaN) - (before[index]?.get(name) ?? NaN)) / seconds));
  const heaps = after.map((figures) => (figures.get('heap_used_bytes') ?? NaN) / BYTES_PER_MB);
  return [
    round(100 * getMean(getRates('cpu_seconds')), 2),
    round(100 * Math.max(...getRates('cpu_seconds')), 2),
    round(getMean(heaps), 1),
    round(getMean(getRates('peer_sent_bytes')), 0),
    round(Math.max(...getRates('peer_sent_bytes')), 0),
    round(getMean(getRates('peer_sent_messages')), 2),
    round((platformAfter.readCount - platformBefore.readCount) / seconds, 2),
    round((platformAfter.writeCount - platformBefore.writeCount) / seconds, 2),
    platformAfter.waitingWatchCount,
  ];
}

/** Takes one upstream out of service and back, again and again. */
async function measureChanges(fleet: Fleet): Promise<number[][]> {
  const [upstreamId] = [...fleet.upstreams.keys()];
  const target = [{ kind: 'upstream', id: upstreamId }];
  const intents = Array.from({ length: CHANGE_COUNT }, (_, index) => (
    index % 2 === 0 ? { drain: target } : { restore: target }));
  return runSequentially(intents, (intent) => measureChange(fleet.hosts, intent));
}

/** Kills a part of the hosts at the moment of a change; the rest has to hear of it. */
async function measureChangeUnderFailure(fleet: Fleet): Promise<{
  times: number[]; survivors: FleetHost[]; movedCounts: number[];
}> {
  const killCount = Math.max(1, Math.round(fleet.hosts.length * KILLED_FRACTION));
  const killed = fleet.hosts.slice(-killCount);
  const survivors = fleet.hosts.slice(0, -killCount);
  const before = await Promise.all(survivors.map(readHostFigures));
  const [upstreamId] = [...fleet.upstreams.keys()];
  const times = await measureChange(
    survivors,
    { drain: [{ kind: 'upstream', id: upstreamId }] },
    () => killed.forEach(({ program }) => program.kill('SIGKILL')),
  );
  await sleep(SETTLE_MS);
  const after = await Promise.all(survivors.map(readHostFigures));
  const movedCounts = after.map((figures, index) => (
    (figures.get('duties_moved') ?? NaN) - (before[index]?.get('duties_moved') ?? NaN)));
  return { times, survivors, movedCounts };
}

interface FleetRun {
  readonly cells: BenchCell[];
  readonly maxInForceMs: number;
}

async function measureFleet(
  hostCount: number,
  seconds: number,
  upstreamsPerPool: number,
): Promise<FleetRun> {
  const deployment = createDeployment(upstreamsPerPool);
  const fleet = await Fleet.create({ deployment, hostCount });
  try {
    await sleep(SETTLE_MS);
    const idle = await measureIdle(fleet, seconds);
    const changes = (await measureChanges(fleet)).flat();
    const failure = await measureChangeUnderFailure(fleet);
    const cells = [
      hostCount,
      fleet.upstreams.size,
      ...idle,
      round(getMedian(changes), 0),
      round(Math.max(...changes), 0),
      round(getMedian(failure.times), 0),
      round(Math.max(...failure.times), 0),
      round(getMean(failure.movedCounts), 1),
    ];
    return { cells, maxInForceMs: Math.max(...changes, ...failure.times) };
  } finally {
    await fleet.close();
  }
}

const COLUMNS = [
  'hosts', 'upstreams', 'CPU mean %', 'CPU max %', 'heap MB', 'bytes/s', 'bytes/s max',
  'messages/s', 'platform reads/s', 'platform writes/s', 'watches',
  'in force p50 ms', 'in force max ms', '10% killed p50 ms', '10% killed max ms',
  'duties moved/host',
];

/**
 * Measures fleets of real entry host processes on loopback: what each host spends without
 * requests, and the time until a confirmed change is in force everywhere.
 *
 * @param options - `--hosts 6,8,16,32`, `--seconds 20`, `--upstreams 2` for each pool
 * @returns one row per fleet size
 */
export async function runFleet(options: BenchOptions): Promise<BenchReport> {
  const hostCounts = (options.flags.get('hosts') ?? DEFAULT_HOST_COUNTS).split(',').map(Number);
  const seconds = Number(options.flags.get('seconds') ?? DEFAULT_SECONDS);
  const upstreams = Number(options.flags.get('upstreams') ?? DEFAULT_UPSTREAMS_PER_POOL);
  const runs = await runSequentially(hostCounts, (count) => measureFleet(count, seconds, upstreams));
  const maxInForceMs = Math.max(...runs.map((run) => run.maxInForceMs));
  return {
    name: 'fleet',
    seed: options.seed,
    tables: [{
      title: 'Fleets on loopback without requests; a change every few hundred milliseconds',
      columns: COLUMNS,
      rows: runs.map(({ cells }) => cells),
    }],
    targets: [{
      name: 'a change is in force everywhere, 10% of the hosts killed or none',
      target: `<= ${IN_FORCE_TARGET_MS} ms`,
      measured: round(maxInForceMs, 0),
      isMet: maxInForceMs <= IN_FORCE_TARGET_MS,
    }],
  };
}
