import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { ChildProgram } from '../scripts/fleet/ChildProgram.ts';
import { Fleet } from '../scripts/fleet/Fleet.ts';
import { getCallerKey } from '../standins/deployments/getCallerKey.ts';
import type { BenchOptions, BenchReport } from './Bench.ts';
import { getProcessCpuMs } from './overhead/getProcessCpuMs.ts';
import { LoadClient, type LoadResult } from './overhead/LoadClient.ts';
import { OVERHEAD_DEPLOYMENT } from './overhead/OVERHEAD_DEPLOYMENT.ts';

const START_TIMEOUT_MS = 30_000;
const STOP_TIMEOUT_MS = 5000;
const MS_PER_SECOND = 1000;
const TARGET_THROUGHPUT_RATIO = 0.7;
const TARGET_P50_RATIO = 1.3;
/** Fraction of the relay's throughput at which latencies are compared. */
const OPEN_LOAD_FRACTION = 0.4;

/** Options of the benchmark. */
export interface OverheadOptions {
  /** Number of pairs of rounds; the reported figures are medians over the pairs. */
  readonly rounds: number;
  readonly roundMs: number;
  /** Concurrent requests while throughput is measured. */
  readonly concurrency: number;
}

/** Default options of the benchmark. */
export const DEFAULT_OVERHEAD_OPTIONS: OverheadOptions = {
  rounds: 5, roundMs: 3000, concurrency: 64,
};

/** The result of one round at one server. */
export interface OverheadRound extends LoadResult {
  /** Processor time of the server's process divided by elapsed time. */
  readonly coresUsed: number;
  readonly cpuMsPerRequest: number;
}

/** A round at the relay and, directly after it, one at the entry host. */
export interface OverheadPair {
  readonly relay: OverheadRound;
  readonly host: OverheadRound;
}

/** The results of all rounds. */
export interface OverheadResult {
  readonly closed: readonly OverheadPair[];
  readonly open: readonly OverheadPair[];
  readonly openRatePerSecond: number;
}

type ServerName = keyof OverheadPair;

interface MeasuredServer {
  readonly client: LoadClient;
  readonly pid: number;
}

function getMedian(values: readonly number[]): number {
  const sorted = [...values].sort((one, other) => one - other);
  return sorted[Math.floor(sorted.length / 2)] ?? NaN;
}

function startRelay(fleet: Fleet, folder: string): Promise<ChildProgram> {
  const [pipeline] = OVERHEAD_DEPLOYMENT.pipelines;
  const stages = pipeline?.stages.map((stage) => ({
    id: stage.id,
    kind: stage.poolId === 'engine' ? 'engine' : 'stagePool',
    urls: [...fleet.upstreams]
      .filter(([upstreamId]) => upstreamId.startsWith(`${stage.poolId}-`))
      .map(([, upstream]) => upstream.url),
  }));
  return ChildProgram.start({
    name: 'relay',
    args: ['bench/overhead/runRelay.ts', JSON.stringify(stages)],
    env: {},
    logFile: join(folder, 'relay.log'),
    readyPattern: /^\{"url":"([^"]+)"\}$/,
    startTimeoutMs: START_TIMEOUT_MS,
  });
}

async function runPairs(
  rounds: number,
  measure: (name: ServerName) => Promise<OverheadRound>,
): Promise<OverheadPair[]> {
  if (rounds === 0) {
    return [];
  }
  const relay = await measure('relay');
  const host = await measure('host');
  return [{ relay, host }, ...await runPairs(rounds - 1, measure)];
}

async function measureRound(
  server: MeasuredServer,
  load: (client: LoadClient) => Promise<LoadResult>,
): Promise<OverheadRound> {
  const cpuBeforeMs = getProcessCpuMs(server.pid);
  const startMs = performance.now();
  const result = await load(server.client);
  const elapsedMs = performance.now() - startMs;
  const cpuMs = getProcessCpuMs(server.pid) - cpuBeforeMs;
  const requestCount = (result.requestsPerSecond * elapsedMs) / MS_PER_SECOND;
  return { ...result, coresUsed: cpuMs / elapsedMs, cpuMsPerRequest: cpuMs / requestCount };
}

async function measureServers(
  servers: Readonly<Record<ServerName, MeasuredServer>>,
  options: OverheadOptions,
): Promise<OverheadResult> {
  const { rounds, roundMs, concurrency } = options;
  const runClosed = (name: ServerName) => measureRound(
    servers[name],
    (client) => client.runClosed(concurrency, roundMs),
  );
  // The first pair is discarded: it only warms up the just-in-time compiler.
  await runPairs(1, runClosed);
  const closed = await runPairs(rounds, runClosed);
  const relayRate = getMedian(closed.map((pair) => pair.relay.requestsPerSecond));
  const openRatePerSecond = relayRate * OPEN_LOAD_FRACTION;
  const open = await runPairs(rounds, (name) => measureRound(
    servers[name],
    (client) => client.runOpen(openRatePerSecond, roundMs),
  ));
  return { closed, open, openRatePerSecond };
}

/**
 * Compares an entry host with a bare relay that makes the same calls. Each runs in its own process,
 * and rounds alternate between them within one run.
 *
 * @param options - options that differ from the defaults
 * @returns the results of each pair of rounds
 */
export async function runOverhead(
  options: Partial<OverheadOptions> = {},
): Promise<OverheadResult> {
  const folder = mkdtempSync(join(tmpdir(), 'parsleylift-overhead-'));
  const fleet = await Fleet.create({ deployment: OVERHEAD_DEPLOYMENT, hostCount: 1 });
  let relay: ChildProgram | null = null;
  try {
    relay = await startRelay(fleet, folder);
    const callerKey = getCallerKey(OVERHEAD_DEPLOYMENT.accounts[0]?.id ?? '');
    const [host] = fleet.hosts;
    const servers = {
      relay: { client: new LoadClient(relay.readyMatch[1] ?? '', callerKey), pid: relay.pid },
      host: { client: new LoadClient(host?.httpUrl ?? '', callerKey), pid: host?.program.pid ?? 0 },
    };
    const result = await measureServers(servers, { ...DEFAULT_OVERHEAD_OPTIONS, ...options });
    await Promise.all([servers.relay.client.close(), servers.host.client.close()]);
    return result;
  } finally {
    await relay?.stop(STOP_TIMEOUT_MS);
    await fleet.close();
    rmSync(folder, { recursive: true, force: true });
  }
}

type ResultField = keyof OverheadRound;

function getMedianOf(
  pairs: readonly OverheadPair[],
  who: keyof OverheadPair,
  field: ResultField,
): number {
  return getMedian(pairs.map((pair) => pair[who][field]));
}

function getMedianRatio(pairs: readonly OverheadPair[], field: ResultField): number {
  return getMedian(pairs.map((pair) => pair.host[field] / pair.relay[field]));
}

function createRows(name: string, pairs: readonly OverheadPair[]) {
  return (['relay', 'host'] as const).map((who) => [
    name, who,
    getMedianOf(pairs, who, 'requestsPerSecond'),
    getMedianOf(pairs, who, 'p50Ms'),
    getMedianOf(pairs, who, 'p99Ms'),
    getMedianOf(pairs, who, 'coresUsed'),
    getMedianOf(pairs, who, 'cpuMsPerRequest'),
    pairs.reduce((sum, pair) => sum + pair[who].failedCount, 0),
  ]);
}

function createRatioRow(name: string, pairs: readonly OverheadPair[]) {
  const fields = ['requestsPerSecond', 'p50Ms', 'p99Ms', 'cpuMsPerRequest'] as const;
  return [name, ...fields.map((field) => getMedianRatio(pairs, field))];
}

/**
 * Runs the benchmark `overhead`. Flags: `--rounds N`, `--seconds N` (per round),
 * `--concurrency N`.
 *
 * @param options - the flags; the seed is not used, because the load is not random
 * @returns throughput and latencies of both servers, and their ratios
 */
export async function run(options: BenchOptions): Promise<BenchReport> {
  const getNumber = (name: string, value: number) => Number(options.flags.get(name) ?? value);
  const defaults = DEFAULT_OVERHEAD_OPTIONS;
  const { closed, open, openRatePerSecond } = await runOverhead({
    rounds: getNumber('rounds', defaults.rounds),
    roundMs: getNumber('seconds', defaults.roundMs / MS_PER_SECOND) * MS_PER_SECOND,
    concurrency: getNumber('concurrency', defaults.concurrency),
  });
  const throughputRatio = getMedianRatio(closed, 'requestsPerSecond');
  const p50Ratio = getMedianRatio(open, 'p50Ms');
  return {
    name: 'overhead',
    seed: options.seed,
    tables: [
      {
        title: `Medians of ${closed.length} rounds; open load at ${openRatePerSecond.toFixed(0)}/s`,
        columns: [
          'load', 'server', 'requests/s', 'p50 ms', 'p99 ms', 'cores used', 'cpu ms/request',
          'failed',
        ],
        rows: [...createRows('closed', closed), ...createRows('open', open)],
      },
      {
        title: 'Entry host to relay, medians of the pairs',
        columns: ['load', 'throughput', 'p50', 'p99', 'cpu per request'],
        rows: [createRatioRow('closed', closed), createRatioRow('open', open)],
      },
    ],
    targets: [
      {
        name: 'throughput ratio, closed load',
        target: `>= ${TARGET_THROUGHPUT_RATIO}`,
        measured: throughputRatio,
        isMet: throughputRatio >= TARGET_THROUGHPUT_RATIO,
      },
      {
        name: 'p50 ratio, open load',
        target: `<= ${TARGET_P50_RATIO}`,
        measured: p50Ratio,
        isMet: p50Ratio <= TARGET_P50_RATIO,
      },
    ],
  };
}
