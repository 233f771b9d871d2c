import type { SendAttemptOutput } from '../src/core/CoreOutput.ts';
import type { CoreInput } from '../src/core/CoreInput.ts';
import { SingleHostDirectory } from '../src/grants/SingleHostDirectory.ts';
import { toId } from '../src/lib/ids.ts';
import { ManualClock } from '../src/time/ManualClock.ts';
import type { BenchCell, BenchOptions, BenchReport } from './Bench.ts';
import { CoreHost } from './load/CoreHost.ts';
import { createDeploymentConfiguration, type Deployment } from './load/Deployment.ts';

const BASE = { engines: 60, accounts: 100, inFlight: 100 };
const STEPS = 4_000;
const WARMUP_STEPS = 2_000;
const SIZES: readonly (readonly [string, Partial<typeof BASE>])[] = [
  ['base', {}],
  ['in flight x10', { inFlight: 1_000 }],
  ['in flight x40', { inFlight: 4_000 }],
  ['upstreams 240', { engines: 240 }],
  ['upstreams 890', { engines: 890 }],
  ['accounts 1,000', { accounts: 1_000 }],
  ['accounts 7,300', { accounts: 7_300 }],
];
const BYTES_PER_KIBIBYTE = 1_024;
const LONG_MS = 3_600_000;

/** One core with stages in flight; each step ends one attempt and submits one request. */
class StepTestBed {
  readonly #clock = new ManualClock();

  readonly #host: CoreHost;

  readonly #accountIds: string[];

  #attempts: SendAttemptOutput[] = [];

  #submittedCount = 0;

  constructor(size: typeof BASE, seed: number) {
    this.#accountIds = Array.from({ length: size.accounts }, (_, index) => `account-${index}`);
    const deployment: Deployment = {
      name: 'step',
      hostCount: 1,
      engineCount: size.engines,
      memberCount: size.engines,
      accountIds: this.#accountIds,
    };
    const configuration = createDeploymentConfiguration(deployment);
    this.#clock.advance(LONG_MS);
    this.#host = new CoreHost(
      { hostId: 'host-0', failureDomainId: 'domain-a' },
      this.#clock,
      seed,
      (context) => new SingleHostDirectory(context),
    );
    this.#host.setConfiguration(configuration);
    configuration.upstreams.forEach(({ id }) => this.#step({
      kind: 'loadReported',
      upstreamId: toId(id),
      upstreamIncarnation: `${id}/1`,
      uptimeMs: LONG_MS,
      runningCount: 0,
      queuedCount: 0,
    }));
    for (let index = 0; index < size.inFlight; index += 1) {
      this.#submit();
    }
  }

  /** Ends the oldest attempt, submits one request and lets a little time pass. */
  run(): void {
    this.#clock.advance(1);
    const attempt = this.#attempts.shift();
    if (attempt !== undefined) {
      this.#step({
        kind: 'attemptSucceeded',
        attemptId: attempt.attemptId,
        upstreamIncarnation: `${attempt.upstreamId}/1`,
        output: 'output',
        costMicros: 10,
      });
    }
    if (attempt === undefined || attempt.stageId === 'generate') {
      this.#submit();
    }
    this.#host.getNextWakeMs();
  }

  #submit(): void {
    this.#submittedCount += 1;
    const accountId = this.#accountIds[this.#submittedCount % this.#accountIds.length] as string;
    this.#step({
      kind: 'requestSubmitted',
      requestId: toId(`request-${this.#submittedCount}`),
      accountId: toId(accountId),
      pipelineId: toId('brief'),
      idempotencyKey: null,
      input: 'input',
      deadlineMs: LONG_MS / 10,
      traceparent: '',
    });
  }

  #step(input: CoreInput): void {
    this.#host.step([input]).forEach((output) => {
      if (output.kind === 'sendAttempt') {
        this.#attempts.push(output);
      }
    });
  }
}

function measure(size: typeof BASE, seed: number): readonly [number, number] {
  const rig = new StepTestBed(size, seed);
  for (let index = 0; index < WARMUP_STEPS; index += 1) {
    rig.run();
  }
  global.gc?.();
  const heapBytes = process.memoryUsage().heapUsed;
  const startMs = performance.now();
  for (let index = 0; index < STEPS; index += 1) {
    rig.run();
  }
  const elapsedMs = performance.now() - startMs;
  // Collections run in between, so this is what is kept or not collected yet.
  const grownBytes = Math.max(0, process.memoryUsage().heapUsed - heapBytes);
  return [(elapsedMs * 1_000) / STEPS, grownBytes / STEPS / BYTES_PER_KIBIBYTE];
}

/**
 * Time and heap growth of a step that ends one attempt, against what exists beside it.
 *
 * @param options - the seed
 * @returns microseconds and kibibytes for each step, with their ratio to the base size
 */
export async function run(options: BenchOptions): Promise<BenchReport> {
  measure(BASE, options.seed);
  const [baseMicros, baseKib] = measure(BASE, options.seed);
  const rows = SIZES.map(([name, change]): BenchCell[] => {
    const [micros, kib] = measure({ ...BASE, ...change }, options.seed);
    return [name, micros, micros / baseMicros, kib, kib / Math.max(0.001, baseKib)];
  });
  return {
    name: 'step',
    seed: options.seed,
    tables: [{
      title: `A step that ends one attempt (base: ${BASE.inFlight} requests in flight, `
        + `${BASE.engines} upstreams in each of 5 pools, ${BASE.accounts} accounts)`,
      columns: ['size', 'microseconds', 'to base', 'KiB of heap growth', 'to base'],
      rows,
    }],
    targets: [],
  };
}
