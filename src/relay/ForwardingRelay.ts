import type { CallerExchange } from '../ingress/CallerExchange.ts';
import { MAX_UNMARKED_BYTES } from '../ingress/MAX_UNMARKED_BYTES.ts';
import { createErrorAnswer } from '../ingress/createErrorAnswer.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { HostId } from '../lib/ids.ts';
import { BufferedAnswer } from './BufferedAnswer.ts';
import { findAdmission } from './findAdmission.ts';
import type { ForwardingPeer } from './ForwardingPeers.ts';
import { PeerExchange, type PeerExchangeEnd } from './PeerExchange.ts';
import { REFUSALS } from './REFUSALS.ts';
import type { OpenRelay, RelayContext } from './RelayContext.ts';
import type { AnswerHead } from './UpstreamProtocol.ts';

/** Hosts that are asked to take a request, one after the other. */
const MAX_PEERS = 3;
/** Retry-After when no other host takes the request. */
const RETRY_AFTER_MS = 500;

const STATUS = {
  multipleChoices: 300, badGateway: 502, unavailable: 503, timeout: 504,
} as const;

/**
 * Passes a request on to a host that reaches upstreams, and its answer back as it arrives. That
 * host decides as for a caller of its own, by a configuration that is no older than the one here,
 * and sends to upstreams at most as often as it may; this one asks another host only while the
 * request was certainly not taken.
 */
export class ForwardingRelay implements OpenRelay {
  readonly #context: RelayContext;

  readonly #exchange: CallerExchange;

  readonly #deadlineAtMs: number;

  readonly #triedIds = new Set<HostId>();

  #peerExchange: PeerExchange | null = null;

  /** Ends the probes of the other host for this request. */
  #endWatch: () => void = () => {};

  #head: AnswerHead | null = null;

  /** Configuration version that the other host has; null until it tells. */
  #decidedVersion: number | null = null;

  /** Beginning of an answer whose end the other host does not mark. */
  readonly #unmarked: BufferedAnswer;

  #unmarkedBytes = 0;

  #isOver = false;

  #deadlineTimer: NodeJS.Timeout | null = null;

  /**
   * @param context - dependencies shared by all relays
   * @param exchange - the request and the means to answer it
   * @param deadlineAtMs - monotonic time after which the caller no longer waits
   */
  constructor(context: RelayContext, exchange: CallerExchange, deadlineAtMs: number) {
    this.#context = context;
    this.#exchange = exchange;
    this.#deadlineAtMs = deadlineAtMs;
    this.#unmarked = new BufferedAnswer(context.answerMemory);
  }

  /** Starts relaying. */
  start(): void {
    this.#context.openRelays.add(this);
    this.#exchange.onDisconnect(() => this.#finish('caller-gone'));
    if (this.#exchange.isDisconnected) {
      this.#finish('caller-gone');
      return;
    }
    this.#deadlineTimer = setTimeout(
      () => this.#fail(STATUS.timeout, 'timeout', null),
      Math.max(0, this.#getRemainingMs()),
    );
    this.#sendToNext();
  }

  /** Another host counts the request. */
  readonly poolId = null;

  /** @inheritdoc */
  getRunningIds(): readonly [] {
    return [];
  }

  /** @inheritdoc */
  endForStop(): void {
    this.#fail(STATUS.badGateway, 'leaving', null);
  }

  #getRemainingMs(): number {
    return this.#deadlineAtMs - this.#context.clock.getMonotonicMs();
  }

  #sendToNext(): void {
    const { forwarding, connections, protocol } = this.#context;
    const peer = this.#triedIds.size < MAX_PEERS ? forwarding.peers.choose(this.#triedIds) : null;
    if (peer === null) {
      this.#fail(STATUS.unavailable, 'no-upstream-reachable', RETRY_AFTER_MS);
      return;
    }
    const refusal = peer.comparesConfigurations ? null : this.#getOwnRefusal();
    if (refusal !== null) {
      this.#fail(refusal.status, refusal.reason, null);
      return;
    }
    this.#triedIds.add(peer.hostId);
    forwarding.peers.recordStart(peer.hostId);
    const origin = forwarding.getOrigin();
    this.#log('forwarded', { hostId: peer.hostId, version: origin.configurationVersion });
    const url = `http://${peer.address}`;
    this.#peerExchange = new PeerExchange({
      connections: connections.get(url),
      protocol,
      receiver: {
        onDecided: (version) => this.#recordDecided(version, peer),
        onHead: (head, marksEnd) => {
          this.#head = head;
          if (marksEnd || this.#isStream(head)) {
            this.#beginStream();
          }
        },
        onData: (chunk) => this.#handleData(chunk),
        onEnd: (end) => this.#endExchange(peer, end),
      },
      comparesConfigurations: peer.comparesConfigurations,
      probe: () => connections.probe(url),
    });
    this.#endWatch = forwarding.liveness.watch(peer, () => (
      this.#fail(STATUS.badGateway, 'peer-silent', null)));
    this.#peerExchange.send(this.#exchange.request, this.#getRemainingMs(), origin);
  }

  /** What this host's configuration refuses, no other host need be asked that does not compare. */
  #getOwnRefusal(): { readonly status: number; readonly reason: string } | null {
    const { configuration } = this.#context.directory;
    const admission = configuration === null
      ? null
      : findAdmission(configuration, this.#exchange.request);
    return admission === null || admission.kind === 'allowed' ? null : REFUSALS[admission.kind];
  }

  /** From now on, no older version decides on requests to this host. */
  #recordDecided(version: number, { peerAddress }: ForwardingPeer): void {
    const { configurationFloor, configurationCatchUp } = this.#context.forwarding;
    this.#decidedVersion = version;
    configurationFloor.recordDecided(version);
    configurationCatchUp.start(version, peerAddress);
  }

  #isStream({ status }: AnswerHead): boolean {
    return this.#exchange.request.profile.generation !== null && status < STATUS.multipleChoices;
  }

  /** Passes bytes on; those of a small answer without a mark wait for its end. */
  #handleData(chunk: Buffer): void {
    if (this.#isOver || this.#exchange.hasAnswered) {
      this.#forward(chunk);
      return;
    }
    this.#unmarkedBytes += chunk.length;
    if (this.#unmarkedBytes > MAX_UNMARKED_BYTES || !this.#unmarked.add(chunk)) {
      this.#beginStream();
      this.#forward(chunk);
    }
  }

  #beginStream(): void {
    if (this.#head !== null && !this.#isOver) {
      this.#exchange.beginStream(this.#head.status, this.#head.passedHeaders);
      this.#forward(this.#unmarked.take());
    }
  }

  #forward(chunk: Buffer): void {
    if (!this.#isOver && chunk.length > 0 && !this.#exchange.write(chunk)) {
      this.#peerExchange?.pause();
      this.#exchange.onWritable(() => this.#peerExchange?.resume());
    }
  }

  /** Ends the answer; a small one without a mark is handed on as it came. */
  #endAnswer(isEndMarked: boolean): void {
    if (this.#exchange.hasAnswered || this.#head === null) {
      this.#exchange.end();
      return;
    }
    const { status, passedHeaders } = this.#head;
    this.#exchange.answer({
      status, headers: passedHeaders, body: this.#unmarked.take(), isEndMarked,
    });
  }

  #endExchange(peer: ForwardingPeer, end: PeerExchangeEnd): void {
    this.#endWatch();
    this.#context.forwarding.peers.recordEnd(peer.hostId, end.kind !== 'notTaken');
    this.#peerExchange = null;
    if (this.#isOver) {
      return;
    }
    switch (end.kind) {
      case 'complete':
        this.#endAnswer(end.isEndMarked);
        this.#finish('answered', {
          hostId: peer.hostId,
          status: this.#head?.status ?? null,
          isEndMarked: end.isEndMarked,
          decidedVersion: this.#decidedVersion,
        });
        return;
      case 'notTaken':
        this.#log('notTaken', {
          hostId: peer.hostId, detail: end.detail, decidedVersion: this.#decidedVersion,
        });
        this.#sendToNext();
        return;
      case 'broken':
        this.#fail(STATUS.badGateway, 'peer-failed', null);
        return;
      default:
        throw exhaustiveSwitchError(end);
    }
  }

  #fail(status: number, reason: string, retryAfterMs: number | null): void {
    if (this.#isOver) {
      return;
    }
    if (this.#exchange.hasAnswered) {
      this.#exchange.abort();
    } else {
      this.#exchange.answer(createErrorAnswer(status, reason, retryAfterMs));
    }
    this.#finish(reason, { status, retryAfterMs });
  }

  #finish(outcome: string, details: Readonly<Record<string, unknown>> = {}): void {
    if (this.#isOver) {
      return;
    }
    this.#isOver = true;
    this.#context.openRelays.delete(this);
    clearTimeout(this.#deadlineTimer ?? undefined);
    this.#unmarked.release();
    this.#peerExchange?.abort(outcome);
    const elapsedMs = this.#context.clock.getMonotonicMs() - this.#exchange.request.arrivedAtMs;
    this.#context.metrics.recordEnd('forwarded', outcome, elapsedMs, null);
    this.#log(outcome, details);
  }

  #log(outcome: string, details: Readonly<Record<string, unknown>> = {}): void {
    this.#context.logger.info({
      event: 'relay',
      outcome,
      requestId: this.#exchange.request.profile.id,
      remainingMs: Math.round(this.#getRemainingMs()),
      ...details,
    }, 'progress of a request that another host serves');
  }
}
