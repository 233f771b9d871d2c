import type { Fault } from './FAULTS.ts';
import type { FaultTrace } from './FaultTrace.ts';
import { FaultWorld } from './FaultWorld.ts';
import type { Mutation } from './MUTATION.ts';
import type { FaultStep } from './STEPS.ts';

/** A fault and the step at which it is put in. */
export interface FaultInjection {
  readonly fault: Fault;
  readonly step: FaultStep;
}

const FIRST_REQUEST_MS = 300;
const REQUEST_PERIOD_MS = 120;
const LAST_REQUEST_MS = 9900;
const RESEND_MS = 450;
const RESEND_EVERY = 3;
const DRAIN_UPSTREAM_MS = 900;
const DRAIN_DOMAIN_MS = 1300;
const STOP_MS = 2260;
const END_MS = 14_000;
/** Faults begin once the system serves. */
const FIRST_FAULT_MS = 600;

function scheduleRequests(world: FaultWorld): void {
  let count = 0;
  for (let atMs = FIRST_REQUEST_MS; atMs < LAST_REQUEST_MS; atMs += REQUEST_PERIOD_MS) {
    const number = count;
    const isBook = number % 2 === 0;
    const key = isBook ? `key-${number}` : null;
    const pipelineId = isBook ? 'book' : 'read';
    world.queue.schedule(atMs, () => world.submit(number % 3, pipelineId, key, `input-${number}`));
    if (isBook && number % RESEND_EVERY === 0) {
      world.queue.schedule(atMs + RESEND_MS, () => (
        world.submit((number + 1) % 3, pipelineId, key, `input-${number}`)
      ));
    }
    count += 1;
  }
}

/**
 * Runs the small system through requests, two drains and a planned stop, with faults.
 *
 * @param injections - faults, each put in once, when its step is about to happen
 * @param seed - seed of all randomness
 * @param mutation - a fault put into the system on purpose; null for none
 * @returns what was seen, and how many of the faults were put in
 */
export function runFaultCase(
  injections: readonly FaultInjection[],
  seed: number,
  mutation: Mutation | null = null,
): { readonly trace: FaultTrace; readonly injectedCount: number } {
  const world = new FaultWorld(seed, mutation);
  let pending = [...injections];
  world.onStep = (step, host) => {
    const due = world.queue.nowMs < FIRST_FAULT_MS
      ? [] : pending.filter((injection) => injection.step === step);
    pending = pending.filter((injection) => !due.includes(injection));
    due.forEach(({ fault }) => fault.start(world, host));
  };
  scheduleRequests(world);
  world.queue.schedule(DRAIN_UPSTREAM_MS, () => world.requestChange(0, 'drainUpstream', {
    drain: [{ kind: 'upstream', id: 'ledger-b' }],
  }));
  world.queue.schedule(DRAIN_DOMAIN_MS, () => world.requestChange(1, 'drainDomain', {
    drain: [{ kind: 'failureDomain', id: 'domain-c' }],
  }));
  world.queue.schedule(STOP_MS, () => world.stop(1));
  world.run(END_MS);
  return { trace: world.trace, injectedCount: injections.length - pending.length };
}
