import type {
  BenchCell, BenchOptions, BenchReport, BenchTarget,
} from './Bench.ts';
import { DEPLOYMENTS, getCapacityPerSecond, type Deployment } from './load/Deployment.ts';
import { LoadRun, type SystemKind } from './load/LoadRun.ts';
import { getAttainment, getQuantile, isAttained } from './load/RequestOutcome.ts';

const SYSTEMS: readonly SystemKind[] = ['core', 'baseline'];
const WARMUP_MS = 20_000;
const MEASURED_MS = 120_000;
const SETTLE_MS = 10_000;
const FAILURE_RAMP_MS = 60_000;
const FAILURE_STEP_MS = 1_000;
const MAX_SLOWDOWN_FACTOR = 8;
const MAX_ERROR_RATE = 0.5;
const LOW_LOAD = 0.8;
const HIGH_LOAD = 1.5;
const MS_PER_SECOND = 1_000;
const ATTAINMENT_TARGET = 0.995;
const GOODPUT_TARGET = 0.95;
const REFUSAL_TARGET_MS = 50;

interface Measured {
  readonly attainment: number;
  readonly goodputOfCapacity: number;
  readonly refusedFraction: number;
  readonly refusalMedianMs: number;
  readonly falseNotRun: number;
  readonly callerRetryAttainment: number;
  readonly unanswered: number;
}

/** One engine gets slower and fails more and more. */
function scheduleSlowFailure(loadRun: LoadRun): void {
  const engine = loadRun.upstreams.get('engines-0');
  const startMs = WARMUP_MS + FAILURE_STEP_MS;
  for (let atMs = 0; atMs <= FAILURE_RAMP_MS; atMs += FAILURE_STEP_MS) {
    const part = atMs / FAILURE_RAMP_MS;
    loadRun.events.after(startMs + atMs, () => {
      if (engine !== undefined) {
        engine.slowdownFactor = 1 + part * (MAX_SLOWDOWN_FACTOR - 1);
        engine.errorRate = part * MAX_ERROR_RATE;
      }
    });
  }
}

/** One refused caller in ten comes back once, when it was told to. */
function scheduleCallerRetries(loadRun: LoadRun): void {
  const retriedRequestIds = new Set<string>();
  const poll = () => {
    loadRun.outcomes.forEach((outcome) => {
      const answer = outcome.answers[0]?.answer;
      const hasRetryAfter = answer?.kind === 'refused' && answer.retryAfterMs !== null;
      if (hasRetryAfter && !outcome.isCallerRetry && !retriedRequestIds.has(outcome.requestId)) {
        retriedRequestIds.add(outcome.requestId);
        if (retriedRequestIds.size % 10 === 0) {
          loadRun.events.after(answer.retryAfterMs, () => loadRun.submit(outcome.accountId, true));
        }
      }
    });
  };
  for (let atMs = WARMUP_MS; atMs < WARMUP_MS + MEASURED_MS; atMs += MS_PER_SECOND) {
    loadRun.events.after(atMs, poll);
  }
}

function getLedgerRuns(loadRun: LoadRun, requestId: string): number {
  return [...loadRun.upstreams.values()]
    .filter(({ id }) => id.startsWith('ledger'))
    .reduce((sum, { runCounts: runs }) => sum + (runs.get(`${requestId}/confirm`) ?? 0), 0);
}

function measure(loadRun: LoadRun, deployment: Deployment, load: number): Measured {
  const firstMs = WARMUP_MS + MS_PER_SECOND;
  const all = [...loadRun.outcomes.values()]
    .filter(({ arrivedAtMs }) => arrivedAtMs >= firstMs && arrivedAtMs < firstMs + MEASURED_MS);
  const fresh = all.filter(({ isCallerRetry: isReturn }) => !isReturn);
  const refused = all.filter(({ answers }) => answers[0]?.answer.kind === 'refused');
  const servableCount = Math.min(1, load) * getCapacityPerSecond(deployment) * (MEASURED_MS / 1_000);
  const falseNotRun = refused.filter(({ requestId, answers }) => {
    const answer = answers[0]?.answer;
    return answer?.kind === 'refused' && answer.notRun && getLedgerRuns(loadRun, requestId) > 0;
  });
  return {
    attainment: getAttainment(fresh),
    goodputOfCapacity: all.filter(isAttained).length / servableCount,
    refusedFraction: refused.length / all.length,
    refusalMedianMs: getQuantile(
      refused.map(({ answers, arrivedAtMs }) => (answers[0]?.atMs ?? 0) - arrivedAtMs),
      0.5,
    ),
    falseNotRun: falseNotRun.length,
    callerRetryAttainment: getAttainment(all.filter(({ isCallerRetry: isReturn }) => isReturn)),
    unanswered: all.filter(({ answers }) => answers.length !== 1).length,
  };
}

function runCase(
  deployment: Deployment,
  system: SystemKind,
  load: number,
  seed: number,
): Measured {
  const loadRun = new LoadRun({ deployment, system, seed });
  const perAccount = (load * getCapacityPerSecond(deployment)) / deployment.accountIds.length;
  const endMs = MS_PER_SECOND + WARMUP_MS + MEASURED_MS;
  deployment.accountIds.forEach((id) => loadRun.addLoad(id, perAccount, MS_PER_SECOND, endMs));
  if (load === LOW_LOAD) {
    scheduleSlowFailure(loadRun);
  } else {
    scheduleCallerRetries(loadRun);
  }
  loadRun.events.runUntil(endMs + SETTLE_MS);
  return measure(loadRun, deployment, load);
}

function createTargets(name: string, low: Measured, high: Measured): BenchTarget[] {
  return [
    {
      name: `${name}: attainment at 0.8 with one engine failing slowly`,
      target: `>= ${ATTAINMENT_TARGET}`,
      measured: low.attainment,
      isMet: low.attainment >= ATTAINMENT_TARGET,
    },
    {
      name: `${name}: goodput over capacity at 1.5`,
      target: `>= ${GOODPUT_TARGET}`,
      measured: high.goodputOfCapacity,
      isMet: high.goodputOfCapacity >= GOODPUT_TARGET,
    },
    {
      name: `${name}: median time of a refusal at 1.5, ms`,
      target: `< ${REFUSAL_TARGET_MS}`,
      measured: high.refusalMedianMs,
      isMet: high.refusalMedianMs < REFUSAL_TARGET_MS,
    },
    {
      name: `${name}: refusals with a false "not run"`,
      target: '0',
      measured: low.falseNotRun + high.falseNotRun,
      isMet: low.falseNotRun + high.falseNotRun === 0,
    },
  ];
}

/**
 * Deadline attainment at 0.8 of the capacity while one engine fails slowly, and goodput and
 * refusals at 1.5 of it, beside the baseline on the same load.
 *
 * @param options - the seed
 * @returns the table and the targets
 */
export async function run(options: BenchOptions): Promise<BenchReport> {
  const rows: BenchCell[][] = [];
  const targets: BenchTarget[] = [];
  DEPLOYMENTS.forEach((deployment) => {
    SYSTEMS.forEach((system) => {
      const [low, high] = [LOW_LOAD, HIGH_LOAD].map((load) => {
        const measured = runCase(deployment, system, load, options.seed);
        rows.push([deployment.name, system, load, ...Object.values(measured)]);
        return measured;
      });
      if (system === 'core' && low !== undefined && high !== undefined) {
        targets.push(...createTargets(deployment.name, low, high));
      }
    });
  });
  return {
    name: 'attainment',
    seed: options.seed,
    tables: [{
      title: 'Attainment under load',
      columns: [
        'deployment', 'system', 'load', 'attainment', 'goodput / carried', 'refused',
        'refusal median ms', 'false "not run"', 'returns attained', 'not answered once',
      ],
      rows,
    }],
    targets,
  };
}
