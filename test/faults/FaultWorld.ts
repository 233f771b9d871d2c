import type { ConfigurationRecord } from '../../src/configuration/records/ConfigurationRecord.ts';
import { CONFIGURATION_HEAD_KEY } from '../../src/configuration/CONFIGURATION_HEAD_KEY.ts';
import type { CoreInput } from '../../src/core/CoreInput.ts';
import type { CoreOutput, SendAttemptOutput } from '../../src/core/CoreOutput.ts';
import type { Intent } from '../../src/intents/Intent.ts';
import { SeededRandomSource } from '../../src/lib/SeededRandomSource.ts';
import { toId } from '../../src/lib/ids.ts';
import type { MemberRecord } from '../../src/peers/PeerMessage.ts';
import { ManualClock } from '../../src/time/ManualClock.ts';
import { createFaultConfiguration, DOMAINS } from './createFaultConfiguration.ts';
import { EventQueue } from './EventQueue.ts';
import { FaultHost } from './FaultHost.ts';
import { FaultNetwork } from './FaultNetwork.ts';
import { createFaultTrace, type AcceptedTrace, type FaultTrace } from './FaultTrace.ts';
import { FaultUpstream } from './FaultUpstream.ts';
import type { Mutation } from './MUTATION.ts';
import { applyMutation } from './applyMutation.ts';
import type { FaultStep } from './STEPS.ts';

const LOAD_PERIOD_MS = 200;
const UPSTREAM_ONE_WAY_MS = 1;
const DETECTION_MS = 700;
const RESTART_MS = 1000;
const CALLER_RETRY_MS = 300;
const CONFIRM_RETRY_MS = 400;

/** Called at each moment at which a fault may be put in. */
export type StepListener = (step: FaultStep, host: FaultHost) => void;

/** Three hosts, nine upstreams, a platform and operators, with everything between them in reach. */
export class FaultWorld {
  readonly queue = new EventQueue(new ManualClock());

  readonly network: FaultNetwork;

  readonly trace: FaultTrace = createFaultTrace();

  readonly upstreams: FaultUpstream[];

  readonly hosts: FaultHost[] = [];

  onStep: StepListener | null = null;

  /** While true hosts are not told that others are gone or new. */
  isHostListStale = false;

  readonly #seed: number;

  readonly #mutation: Mutation | null;

  readonly #incarnationCounts = [0, 0, 0];

  readonly #operatorCalls = new Map<string, AcceptedTrace['change']>();

  /** Every process that ever ran. */
  readonly #processes: FaultHost[] = [];

  #members: MemberRecord[] = [];

  #requestCount = 0;

  #callCount = 0;

  /**
   * @param seed - seed of all randomness
   * @param mutation - a fault put into the system on purpose; null for none
   */
  constructor(seed: number, mutation: Mutation | null = null) {
    this.#seed = seed;
    this.#mutation = mutation;
    const random = new SeededRandomSource(seed);
    this.network = new FaultNetwork(this.queue, () => random.getFraction());
    const configuration = createFaultConfiguration();
    this.network.store.execute({
      kind: 'compareAndSwap',
      key: CONFIGURATION_HEAD_KEY,
      expectedVersion: 0,
      value: JSON.stringify(configuration),
    });
    this.upstreams = configuration.upstreams.map(({ id, failureDomainId }) => (
      new FaultUpstream(id, failureDomainId, this.queue, {
        onArrival: (attempt, upstream) => this.#traceArrival(attempt, upstream),
        onChunk: () => this.#notifyStep('stream', 0),
        onBill: (costMicros) => {
          this.trace.billedMicros += costMicros;
        },
      })
    ));
    DOMAINS.forEach((_, index) => this.start(index));
    this.#reportLoads();
  }

  /**
   * Starts a process of a host under a new incarnation.
   *
   * @param index - which host
   */
  start(index: number): void {
    this.#incarnationCounts[index] = (this.#incarnationCounts[index] ?? 0) + 1;
    const host = new FaultHost({
      index,
      incarnationNumber: this.#incarnationCounts[index] ?? 1,
      seed: this.#seed,
      queue: this.queue,
      mutation: this.#mutation,
      getMembers: () => this.#members,
      perform: (from, output) => this.#perform(from, output),
    });
    this.hosts[index] = host;
    this.#processes.push(host);
    this.#traceVersions(host);
    this.#announceMembers();
    this.queue.schedule(0, () => host.step());
  }

  /**
   * Ends a process without notice; it starts again a while later.
   *
   * @param index - which host
   */
  kill(index: number): void {
    const host = this.hosts[index];
    if (host === undefined || host.isDead) {
      return;
    }
    host.isDead = true;
    this.trace.killed.set(host.self.incarnationId, this.queue.nowMs);
    this.queue.schedule(CALLER_RETRY_MS, () => this.#retryLost(host.self.incarnationId));
    this.queue.schedule(DETECTION_MS, () => this.#announceGone(host.self.incarnationId));
    this.queue.schedule(RESTART_MS, () => this.start(index));
  }

  /**
   * Hands a request to a host; nothing when the host does not take requests.
   *
   * @param index - which host the balancer chose
   * @param pipelineId - the pipeline
   * @param key - the idempotency key; null for none
   * @param input - the input
   */
  submit(index: number, pipelineId: string, key: string | null, input: string): void {
    const candidates = [0, 1, 2].map((offset) => this.hosts[(index + offset) % 3]);
    const host = candidates.find((candidate) => (
      candidate !== undefined && !candidate.isDead && !candidate.isFrozen
      && candidate.core.isReady()
    ));
    if (host === undefined) {
      return;
    }
    this.#requestCount += 1;
    const requestId = `request-${this.#requestCount}`;
    const { incarnationId } = host.self;
    this.trace.submissions.push({
      requestId, pipelineId, key, input, hostIndex: host.index, incarnationId, atMs: this.#nowMs,
    });
    if (pipelineId === 'book') {
      this.#notifyStep('accept', host.index);
    }
    host.step({
      kind: 'requestSubmitted',
      requestId: toId(requestId),
      accountId: toId('account-1'),
      pipelineId: toId(pipelineId),
      idempotencyKey: key === null ? null : toId(key),
      input,
      deadlineMs: null,
      traceparent: '',
    });
    if (pipelineId === 'book') {
      this.#notifyStep('admit', host.index);
    }
  }

  /**
   * An operator proposes an intent at a host and confirms its plan, again until it is answered.
   *
   * @param index - which host
   * @param change - what the change is
   * @param intent - the intent
   */
  requestChange(index: number, change: AcceptedTrace['change'], intent: Intent): void {
    const isAccepted = this.trace.accepted.some((entry) => entry.change === change);
    const host = this.hosts[index % 3];
    if (isAccepted || host === undefined) {
      return;
    }
    this.#callCount += 1;
    const callId = `call-${this.#callCount}`;
    this.#operatorCalls.set(callId, change);
    host.step({ kind: 'operatorCalled', callId, call: { kind: 'proposeIntent', intent } });
    // An operator who gets no answer, or a conflict, tries again at another host.
    this.queue.schedule(CONFIRM_RETRY_MS, () => this.requestChange(index + 1, change, intent));
  }

  /**
   * Asks a host to stop as planned.
   *
   * @param index - which host
   */
  stop(index: number): void {
    const host = this.hosts[index];
    if (host === undefined || host.isDead) {
      return;
    }
    this.trace.stops.push({
      incarnationId: host.self.incarnationId,
      requestedAtMs: this.#nowMs,
      stoppedAtMs: null,
      wasKilled: false,
    });
    this.#notifyStep('handOver', index);
    if (this.#mutation === 'stopAtOnce') {
      this.#finishStop(host);
      return;
    }
    host.step({ kind: 'stopRequested' });
  }

  /**
   * Lets time pass.
   *
   * @param endMs - until when
   */
  run(endMs: number): void {
    this.queue.run(endMs);
    this.trace.endMs = endMs;
    this.trace.bookedMicros = this.#processes
      .flatMap(({ ledger }) => ledger.getOwnRecords())
      .reduce((sum, { costMicros }) => sum + costMicros, 0);
    this.trace.stops.forEach((stop, position) => {
      const killedAtMs = this.trace.killed.get(stop.incarnationId);
      this.trace.stops[position] = { ...stop, wasKilled: killedAtMs !== undefined };
    });
  }

  get #nowMs(): number {
    return this.queue.nowMs;
  }

  #notifyStep(step: FaultStep, index: number): void {
    const host = this.hosts[index];
    if (host !== undefined) {
      this.onStep?.(step, host);
    }
  }

  #traceVersions(host: FaultHost): void {
    const { incarnationId } = host.self;
    let last = 0;
    host.core.configurationManager.follower.onChange((configuration: ConfigurationRecord) => {
      const { version } = host.core.getConfiguration();
      this.trace.versions.push({ incarnationId, version, atMs: this.#nowMs });
      applyMutation(this.#mutation, host, configuration);
      const inForce = host.core.getConfiguration().version;
      if (inForce < Math.max(version, last)) {
        this.trace.versions.push({ incarnationId, version: inForce, atMs: this.#nowMs });
      }
      last = version;
    });
  }

  #announceMembers(): void {
    if (this.isHostListStale) {
      return;
    }
    this.#members = this.hosts.map(({ self, core }) => ({
      ...self,
      state: 'alive',
      generation: 1,
      configurationVersion: core.getConfiguration().version,
    }));
    this.hosts.forEach((host) => host.updateMembers());
  }

  #announceGone(incarnationId: string): void {
    if (!this.isHostListStale) {
      this.hosts.forEach((host) => host.recordGone(incarnationId));
    }
  }

  /** Callers whose connection broke send the same request again elsewhere. */
  #retryLost(incarnationId: string): void {
    this.trace.submissions
      .filter((submission) => submission.incarnationId === incarnationId)
      .filter(({ requestId }) => (
        !this.trace.answers.some((answer) => answer.requestId === requestId)
      ))
      .forEach(({
        hostIndex, pipelineId, key, input,
      }) => this.submit((hostIndex + 1) % 3, pipelineId, key, input));
  }

  #finishStop(host: FaultHost): void {
    host.isDead = true;
    this.trace.stops.forEach((stop, position) => {
      if (stop.incarnationId === host.self.incarnationId) {
        this.trace.stops[position] = { ...stop, stoppedAtMs: this.#nowMs };
      }
    });
    this.#announceGone(host.self.incarnationId);
    this.queue.schedule(CALLER_RETRY_MS, () => {
      this.start(host.index);
      this.#notifyStep('restart', host.index);
    });
  }

  #traceArrival(attempt: SendAttemptOutput, upstream: FaultUpstream): void {
    this.trace.arrivals.push({
      requestId: attempt.requestId,
      key: attempt.idempotencyKey,
      stageId: attempt.stageId,
      upstreamId: upstream.id,
      failureDomainId: upstream.failureDomainId,
      atMs: this.#nowMs,
      runningCount: upstream.runningCount,
      uptimeMs: upstream.uptimeMs,
    });
    const submission = this.trace.submissions
      .find(({ requestId }) => requestId === attempt.requestId);
    if (attempt.stageId === 'confirm' && submission !== undefined) {
      this.#notifyStep('run', submission.hostIndex);
    }
  }

  #reportLoads(): void {
    this.hosts.forEach((host) => this.upstreams.forEach((upstream) => {
      const upstreamId = toId<never>(upstream.id);
      const isCut = this.network.isCut(host.self.failureDomainId, upstream.failureDomainId);
      host.step(isCut ? { kind: 'loadUnavailable', upstreamId } : {
        kind: 'loadReported',
        upstreamId,
        upstreamIncarnation: upstream.incarnation,
        uptimeMs: upstream.uptimeMs,
        runningCount: upstream.runningCount,
        queuedCount: 0,
      });
    }));
    this.queue.schedule(LOAD_PERIOD_MS, () => this.#reportLoads());
  }

  #perform(host: FaultHost, output: CoreOutput): void {
    switch (output.kind) {
      case 'sendAttempt':
        this.#sendAttempt(host, output);
        return;
      case 'cancelAttempt':
        this.queue.schedule(UPSTREAM_ONE_WAY_MS, () => (
          this.upstreams.forEach((upstream) => upstream.cancel(output.attemptId))
        ));
        return;
      case 'answerChunk':
        this.trace.chunks.push(output);
        return;
      case 'answerRequest':
        this.#traceAnswer(host, output);
        return;
      case 'callKeyValue':
        this.#callPlatform(host, output);
        return;
      case 'sendPeerMessage':
        this.#sendMessage(host, output);
        return;
      case 'answerOperator':
        this.#handleOperatorAnswer(host, output);
        return;
      default:
        this.#finishStop(host);
    }
  }

  #traceAnswer(host: FaultHost, output: Extract<CoreOutput, { kind: 'answerRequest' }>): void {
    const { requestId } = output;
    const isCut = this.#mutation === 'cutAnswer' && output.answer.kind === 'completed';
    const isNotRun = this.#mutation === 'claimNotRun' && output.answer.kind === 'refused';
    const answer = {
      ...output.answer,
      ...isCut && output.answer.kind === 'completed'
        ? { output: output.answer.output.slice(0, -1) } : {},
      ...isNotRun ? { notRun: true } : {},
    };
    const times = this.#mutation === 'answerTwice' ? 2 : 1;
    Array.from({ length: times }, () => (
      this.trace.answers.push({ requestId, answer, atMs: this.#nowMs })
    ));
    this.queue.schedule(0, () => this.#notifyStep('bill', host.index));
  }

  #callPlatform(host: FaultHost, output: Extract<CoreOutput, { kind: 'callKeyValue' }>): void {
    const { operationId, call } = output;
    const isWrite = call.kind === 'compareAndSwap';
    if (isWrite && call.key.startsWith('claims/')) {
      this.#notifyStep('claim', host.index);
    }
    if (isWrite && call.key === CONFIGURATION_HEAD_KEY) {
      this.#notifyStep('configure', host.index);
    }
    this.network.call(host.place, output, (answer) => (
      host.step({ kind: 'keyValueAnswered', operationId, answer })
    ));
  }

  #sendMessage(host: FaultHost, output: Extract<CoreOutput, { kind: 'sendPeerMessage' }>): void {
    const { toHostId, message } = output;
    const { hostId: fromHostId, incarnationId: fromIncarnationId } = host.self;
    this.network.send(host.place, toHostId, () => {
      this.hosts.find(({ self }) => self.hostId === toHostId)?.step({
        kind: 'peerMessageReceived', fromHostId, fromIncarnationId, message,
      });
    }, () => host.step({ kind: 'peerUnreachable', hostId: toHostId }));
  }

  #sendAttempt(host: FaultHost, attempt: SendAttemptOutput): void {
    const { attemptId } = attempt;
    const upstream = this.upstreams.find(({ id }) => id === attempt.upstreamId);
    const fail = (failure: 'unreachable' | 'crashed' | 'timedOut'): void => host.step({
      kind: 'attemptFailed', attemptId, failure, costMicros: 0, retryAfterMs: null, detail: 'cut',
    });
    const isCut = (): boolean => this.network.isCut(
      host.self.failureDomainId,
      upstream?.failureDomainId ?? '',
    );
    if (attempt.stageId === 'confirm') {
      this.#notifyStep('dispatch', host.index);
    }
    // The notice may have killed the host before a byte was sent.
    if (upstream === undefined || host.isDead) {
      return;
    }
    if (isCut()) {
      this.queue.schedule(UPSTREAM_ONE_WAY_MS, () => fail('unreachable'));
      return;
    }
    let hasEnded = false;
    const reply = (input: CoreInput): void => this.queue.schedule(UPSTREAM_ONE_WAY_MS, () => {
      hasEnded ||= input.kind !== 'attemptChunk';
      if (isCut()) {
        fail('crashed');
        return;
      }
      if (attempt.stageId === 'confirm') {
        this.#notifyStep('answer', host.index);
      }
      host.step(input);
    });
    this.queue.schedule(UPSTREAM_ONE_WAY_MS, () => upstream.accept(attempt, reply));
    this.queue.schedule(attempt.timeoutMs + UPSTREAM_ONE_WAY_MS, () => {
      if (!hasEnded) {
        fail('timedOut');
      }
    });
  }

  #handleOperatorAnswer(
    host: FaultHost,
    { callId, answer }: Extract<CoreOutput, { kind: 'answerOperator' }>,
  ): void {
    const change = this.#operatorCalls.get(callId);
    if (change === undefined) {
      return;
    }
    if (answer.kind === 'planProposed') {
      const { planId } = answer.plan;
      this.queue.schedule(1, () => host.step({
        kind: 'operatorCalled', callId, call: { kind: 'confirmPlan', planId },
      }));
    }
    const isNew = !this.trace.accepted.some((entry) => entry.change === change);
    if (answer.kind === 'planAccepted' && isNew) {
      this.trace.accepted.push({ change, version: answer.version, atMs: this.#nowMs });
      this.#notifyStep('drain', host.index);
    }
  }
}
