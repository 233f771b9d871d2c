import type { DrainRecord } from '../../src/configuration/records/DrainRecord.ts';
import type { CoreInput } from '../../src/core/CoreInput.ts';
import type {
  CoreOutput, SendAttemptOutput, SendPeerMessageOutput,
} from '../../src/core/CoreOutput.ts';
import { toId, type AttemptId, type RequestId } from '../../src/lib/ids.ts';
import { SeededRandomSource } from '../../src/lib/SeededRandomSource.ts';
import { ManualClock } from '../../src/time/ManualClock.ts';
import { BaselineHost } from './BaselineHost.ts';
import { CoreHost } from './CoreHost.ts';
import {
  createDeploymentConfiguration, getHostDomain, SERVICE_MS, SLOTS_PER_UPSTREAM, type Deployment,
} from './Deployment.ts';
import { EventQueue } from './EventQueue.ts';
import { FakeUpstream, type UpstreamResult } from './FakeUpstream.ts';
import { LoadDirectory } from './LoadDirectory.ts';
import type { RequestOutcome } from './RequestOutcome.ts';
import type { ServingHost } from './ServingHost.ts';

/** What runs under the load. */
export type SystemKind = 'core' | 'baseline';

/** One run. */
export interface LoadRunOptions {
  readonly deployment: Deployment;
  readonly system: SystemKind;
  readonly seed: number;
}

const SAME_DOMAIN_DELAY_MS = 0.5;
const CROSS_DOMAIN_DELAY_MS = 1.2;
const REPORT_PERIOD_MS = 500;
const REPORT_DELAY_MS = 300;
const MS_PER_SECOND = 1_000;
const BOOKING_FRACTION = 0.3;

/** Hosts, fake upstreams and callers under one manual clock. */
export class LoadRun {
  readonly events: EventQueue;

  readonly upstreams = new Map<string, FakeUpstream>();

  readonly outcomes = new Map<RequestId, RequestOutcome>();

  readonly hosts: readonly ServingHost[];

  readonly #options: LoadRunOptions;

  readonly #random: SeededRandomSource;

  readonly #domains = new Map<string, string>();

  readonly #wakes = new Map<ServingHost, number>();

  readonly #openAttempts = new Set<AttemptId>();

  /** Failure domains whose hosts get no callers. */
  readonly avoidedDomains = new Set<string>();

  #version = 1;

  #requestCount = 0;

  constructor(options: LoadRunOptions) {
    this.#options = options;
    const clock = new ManualClock();
    clock.advance(MS_PER_SECOND);
    this.events = new EventQueue(clock);
    this.#random = new SeededRandomSource(options.seed);
    const configuration = createDeploymentConfiguration(options.deployment);
    configuration.upstreams.forEach(({ id, poolId, failureDomainId }) => {
      const pool = configuration.pools.find((each) => each.id === poolId);
      this.#domains.set(id, failureDomainId);
      this.upstreams.set(id, new FakeUpstream(id, this.events, this.#random, {
        slots: SLOTS_PER_UPSTREAM,
        serviceMs: SERVICE_MS[poolId] ?? 1,
        coldConcurrency: pool?.coldConcurrency ?? 0,
        warmupMs: pool?.warmupMs ?? 0,
      }));
    });
    this.hosts = this.#createHosts(clock);
    this.hosts.forEach((host) => host.setConfiguration(configuration));
    this.upstreams.forEach((upstream) => this.#report(upstream));
  }

  /**
   * Submits requests with exponential gaps.
   *
   * @param accountId - whose
   * @param perSecond - mean rate
   * @param fromMs - from when
   * @param untilMs - until when
   */
  addLoad(accountId: string, perSecond: number, fromMs: number, untilMs: number): void {
    let atMs = fromMs;
    while (atMs < untilMs) {
      atMs += (-Math.log(1 - this.#random.getFraction()) * MS_PER_SECOND) / perSecond;
      this.events.after(atMs - this.events.nowMs, () => this.submit(accountId));
    }
  }

  /** Sends one request to a random host. */
  submit(accountId: string, isReturn = false): void {
    this.#requestCount += 1;
    const requestId = toId<RequestId>(`request-${this.#requestCount}`);
    const isBooking = this.#random.getFraction() < BOOKING_FRACTION;
    const hosts = this.hosts.filter((host) => !this.avoidedDomains.has(host.failureDomainId));
    const host = hosts[Math.floor(this.#random.getFraction() * hosts.length)] as ServingHost;
    this.outcomes.set(requestId, {
      requestId, accountId, isCallerRetry: isReturn, isBooking, arrivedAtMs: this.events.nowMs, answers: [],
    });
    this.#step(host, {
      kind: 'requestSubmitted',
      requestId,
      accountId: toId(accountId),
      pipelineId: toId(isBooking ? 'booking' : 'brief'),
      idempotencyKey: isBooking ? toId(`key-${this.#requestCount}`) : null,
      input: `input ${this.#requestCount}`,
      deadlineMs: null,
      traceparent: '',
    });
  }

  /** Puts drains in force at every host after a delay. */
  setDrains(drains: DrainRecord[], delayMs: number): void {
    this.#version += 1;
    const { deployment } = this.#options;
    const configuration = createDeploymentConfiguration(deployment, drains, this.#version);
    this.hosts.forEach((host) => this.events.after(delayMs, () => {
      host.setConfiguration(configuration);
      this.#step(host);
    }));
  }

  #createHosts(clock: ManualClock): ServingHost[] {
    const { deployment, system, seed } = this.#options;
    const names = Array.from({ length: deployment.hostCount }, (_, index) => ({
      hostId: `host-${index}`, failureDomainId: getHostDomain(index),
    }));
    return names.map((name, index) => (system === 'baseline'
      ? new BaselineHost(name, () => clock.getMonotonicMs(), names.length)
      : new CoreHost(name, clock, seed + index + 1, (context) => new LoadDirectory(
        context,
        names,
        (upstreamId) => this.#domains.get(upstreamId) ?? '',
      ))));
  }

  #step(host: ServingHost, ...inputs: CoreInput[]): void {
    host.step(inputs).forEach((output) => this.#perform(host, output));
    const wakeMs = host.getNextWakeMs();
    const knownMs = this.#wakes.get(host) ?? Infinity;
    const isKnown = knownMs > this.events.nowMs && knownMs <= wakeMs;
    if (wakeMs !== Infinity && !isKnown) {
      const delayMs = Math.max(1, wakeMs - this.events.nowMs);
      this.#wakes.set(host, this.events.nowMs + delayMs);
      this.events.after(delayMs, () => this.#wake(host));
    }
  }

  #wake(host: ServingHost): void {
    if (this.events.nowMs >= (this.#wakes.get(host) ?? Infinity)) {
      this.#wakes.delete(host);
      this.#step(host);
    }
  }

  #perform(host: ServingHost, output: CoreOutput): void {
    if (output.kind === 'sendAttempt') {
      this.#send(host, output);
    } else if (output.kind === 'cancelAttempt') {
      this.upstreams.forEach((upstream) => upstream.cancel(output.attemptId));
    } else if (output.kind === 'answerRequest') {
      const { answer } = output;
      this.outcomes.get(output.requestId)?.answers.push({ answer, atMs: this.events.nowMs });
    } else if (output.kind === 'sendPeerMessage') {
      this.#deliver(host, output);
    }
  }

  #deliver(from: ServingHost, { toHostId, message }: SendPeerMessageOutput): void {
    const to = this.hosts.find((each) => each.hostId === toHostId);
    if (to !== undefined) {
      this.events.after(CROSS_DOMAIN_DELAY_MS, () => this.#step(to, {
        kind: 'peerMessageReceived',
        fromHostId: toId(from.hostId),
        fromIncarnationId: toId(`${from.hostId}/1`),
        message,
      }));
    }
  }

  #send(host: ServingHost, attempt: SendAttemptOutput): void {
    const upstream = this.upstreams.get(attempt.upstreamId) as FakeUpstream;
    const isSameDomain = this.#domains.get(upstream.id) === host.failureDomainId;
    const delayMs = isSameDomain ? SAME_DOMAIN_DELAY_MS : CROSS_DOMAIN_DELAY_MS;
    this.#openAttempts.add(attempt.attemptId);
    this.events.after(delayMs, () => upstream.receive({
      attempt,
      finish: (result, incarnation) => this.events.after(delayMs, () => {
        if (this.#openAttempts.delete(attempt.attemptId)) {
          this.#finish(host, attempt, result, incarnation);
        }
      }),
    }));
    this.events.after(attempt.timeoutMs, () => {
      if (this.#openAttempts.delete(attempt.attemptId)) {
        upstream.cancel(attempt.attemptId);
        this.#fail(host, attempt, 'timedOut');
      }
    });
  }

  #finish(
    host: ServingHost,
    attempt: SendAttemptOutput,
    result: UpstreamResult,
    incarnation: string,
  ): void {
    if (result !== 'succeeded') {
      this.#fail(host, attempt, result);
      return;
    }
    this.#step(host, {
      kind: 'attemptSucceeded',
      attemptId: attempt.attemptId,
      upstreamIncarnation: incarnation,
      output: `${attempt.requestId}/${attempt.stageId}`,
      costMicros: 10,
    });
  }

  #fail(
    host: ServingHost,
    attempt: SendAttemptOutput,
    failure: 'timedOut' | 'errored' | 'refused',
  ): void {
    this.#step(host, {
      kind: 'attemptFailed',
      attemptId: attempt.attemptId,
      failure,
      costMicros: 0,
      retryAfterMs: null,
      detail: 'as simulated',
    });
  }

  #report(upstream: FakeUpstream): void {
    const report: CoreInput = {
      kind: 'loadReported',
      upstreamId: toId(upstream.id),
      upstreamIncarnation: upstream.incarnation,
      uptimeMs: upstream.uptimeMs,
      runningCount: upstream.runningCount,
      queuedCount: upstream.queuedCount,
    };
    const reportDelayMs = this.outcomes.size === 0 ? 0 : REPORT_DELAY_MS;
    this.events.after(reportDelayMs, () => this.hosts.forEach((host) => this.#step(host, report)));
    this.events.after(REPORT_PERIOD_MS, () => this.#report(upstream));
  }
}
