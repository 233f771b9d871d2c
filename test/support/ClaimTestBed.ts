import type { ClaimEvent } from '../../src/claims/ClaimEvent.ts';
import { ClaimManager } from '../../src/claims/ClaimManager.ts';
import { DEFAULT_CLAIM_OPTIONS, type ClaimOptions } from '../../src/claims/ClaimOptions.ts';
import type {
  CallKeyValueOutput, CoreOutput, SendPeerMessageOutput,
} from '../../src/core/CoreOutput.ts';
import { toId, type RequestId } from '../../src/lib/ids.ts';
import type { KeyValueAnswer } from '../../src/platform/KeyValueCall.ts';
import { ManualClock } from '../../src/time/ManualClock.ts';
import { FakeCoreContext } from './FakeCoreContext.ts';
import { FakeKeyValueStore } from './FakeKeyValueStore.ts';

/** What happens to a message or a platform call that is under way. */
export type DeliveryOutcome = 'deliver' | 'loseAnswer' | 'delayEffect' | 'refuse' | 'drop' | 'duplicate';

/** Something under way between a host and the platform or another host. */
export type InFlight =
  | { readonly kind: 'call'; readonly host: number; readonly output: CallKeyValueOutput }
  | {
    readonly kind: 'answer';
    readonly host: number;
    readonly operationId: CallKeyValueOutput['operationId'];
    readonly answer: KeyValueAnswer;
  }
  /** A write that took so long that its caller already counts it as lost. */
  | { readonly kind: 'strayCall'; readonly output: CallKeyValueOutput }
  | { readonly kind: 'message'; readonly host: number; readonly output: SendPeerMessageOutput };

/** One host of the bed. */
export interface BedHost {
  readonly context: FakeCoreContext;
  readonly manager: ClaimManager;
}

/** Several claim managers before one key-value store, with everything between them in the open. */
export class ClaimTestBed {
  readonly clock = new ManualClock(1_000_000);

  readonly store = new FakeKeyValueStore();

  readonly hosts: BedHost[];

  readonly events: (ClaimEvent & { readonly host: number })[] = [];

  inFlight: InFlight[] = [];

  #requestCount = 0;

  /**
   * @param hostCount - how many hosts
   * @param overrides - settings that differ from the defaults
   */
  constructor(hostCount: number, overrides: Partial<ClaimOptions> = {}) {
    const options = {
      ...DEFAULT_CLAIM_OPTIONS, getWallMs: () => this.clock.getWallMs(), ...overrides,
    };
    this.hosts = Array.from({ length: hostCount }, (_, index) => {
      const context = new FakeCoreContext(`host-${index}`, this.clock, index + 1);
      return { context, manager: new ClaimManager(context, options) };
    });
  }

  /**
   * Makes one host the owner of all shards in the eyes of some hosts.
   *
   * @param owner - the owner; null lets each write for itself
   * @param hosts - who believes it; all by default
   */
  setOwner(owner: number | null, hosts = this.hosts.map((_, index) => index)): void {
    const members = this.hosts.map(({ context }) => ({
      hostId: context.self.hostId,
      incarnationId: context.self.incarnationId,
      address: context.self.peerAddress,
    }));
    const ownerHostId = owner === null ? null : toId<never>(`host-${owner}`);
    const ownerHostIds = Array.from(
      { length: DEFAULT_CLAIM_OPTIONS.shardCount },
      () => ownerHostId,
    );
    hosts.forEach((host) => this.getHost(host).manager.setOwners({ members, ownerHostIds }));
  }

  /**
   * @param index - which host
   * @returns the host
   */
  getHost(index: number): BedHost {
    const host = this.hosts[index];
    if (host === undefined) {
      throw new RangeError(`No host ${index}`);
    }
    return host;
  }

  /**
   * Asks for a claim at a host.
   *
   * @param host - which host
   * @param key - the idempotency key
   * @param inputDigest - digest of the input
   * @returns the new request's id
   */
  request(host: number, key: string, inputDigest = 'input'): RequestId {
    this.#requestCount += 1;
    const requestId = toId<RequestId>(`request-${this.#requestCount}`);
    this.getHost(host).manager.requestClaim({
      requestId, accountId: toId('account'), idempotencyKey: toId(key), inputDigest,
    });
    this.collect();
    return requestId;
  }

  /** Gathers what the hosts emitted. */
  collect(): void {
    this.hosts.forEach(({ context, manager }, host) => {
      context.takeOutputs().forEach((output) => this.#addOutput(host, output));
      manager.takeEvents().forEach((event) => this.events.push({ ...event, host }));
    });
  }

  /**
   * Lets one thing that is under way meet its fate.
   *
   * @param index - position in `inFlight`
   * @param fate - what happens to it
   */
  settle(index: number, fate: DeliveryOutcome): void {
    const [item] = this.inFlight.splice(index, 1);
    if (item === undefined) {
      return;
    }
    switch (item.kind) {
      case 'call':
        this.#settleCall(item, fate);
        break;
      case 'strayCall':
        this.store.execute(item.output.call);
        break;
      case 'answer':
        this.getHost(item.host).manager.handleKeyValueAnswer({
          kind: 'keyValueAnswered', operationId: item.operationId, answer: item.answer,
        });
        break;
      default:
        this.#settleMessage(item, fate);
    }
    this.collect();
  }

  /**
   * Moves the clock and ticks hosts.
   *
   * @param durationMs - how far
   * @param paused - hosts that don't run meanwhile
   */
  advance(durationMs: number, paused: readonly number[] = []): void {
    this.clock.advance(durationMs);
    this.hosts.forEach(({ manager }, host) => {
      if (!paused.includes(host)) {
        manager.tick();
      }
    });
    this.collect();
  }

  /**
   * Runs without faults until nothing is under way and the time is over.
   *
   * @param durationMs - how long
   * @param paused - hosts that don't run meanwhile
   * @param fate - what happens to everything under way
   */
  run(durationMs: number, paused: readonly number[] = [], fate: DeliveryOutcome = 'deliver'): void {
    const endMs = this.clock.getMonotonicMs() + durationMs;
    while (this.clock.getMonotonicMs() < endMs) {
      let next = this.#findRunnable(paused);
      while (next >= 0) {
        this.settle(next, fate);
        next = this.#findRunnable(paused);
      }
      this.advance(1, paused);
    }
  }

  /**
   * @param requestId - a request
   * @returns the kinds of the events that it got
   */
  getEventKinds(requestId: RequestId): string[] {
    return this.events.filter((event) => event.requestId === requestId).map(({ kind }) => kind);
  }

  #findRunnable(paused: readonly number[]): number {
    return this.inFlight.findIndex((item) => {
      const isToPaused = item.kind === 'message'
        && paused.includes(this.#getTarget(item.output));
      return item.kind === 'strayCall' || (!isToPaused && !paused.includes(item.host));
    });
  }

  #getTarget(output: SendPeerMessageOutput): number {
    return this.hosts.findIndex(({ context }) => context.self.hostId === output.toHostId);
  }

  #addOutput(host: number, output: CoreOutput): void {
    if (output.kind === 'callKeyValue') {
      this.inFlight.push({ kind: 'call', host, output });
    }
    if (output.kind === 'sendPeerMessage') {
      this.inFlight.push({ kind: 'message', host, output });
    }
  }

  #settleCall({ host, output }: Extract<InFlight, { kind: 'call' }>, fate: DeliveryOutcome): void {
    const { operationId } = output;
    const answer = (answered: KeyValueAnswer): void => {
      this.inFlight.push({
        kind: 'answer', host, operationId, answer: answered,
      });
    };
    if (fate === 'refuse') {
      answer({ kind: 'unavailable', detail: 'refused' });
    } else if (fate === 'deliver' || fate === 'duplicate') {
      answer(this.store.execute(output.call));
    } else {
      if (fate === 'loseAnswer') {
        this.store.execute(output.call);
      }
      if (fate === 'delayEffect') {
        this.inFlight.push({ kind: 'strayCall', output });
      }
      answer({ kind: 'unknown', detail: 'lost' });
    }
  }

  #settleMessage({ host, output }: Extract<InFlight, { kind: 'message' }>, fate: DeliveryOutcome): void {
    if (fate === 'drop' || fate === 'loseAnswer' || fate === 'refuse') {
      return;
    }
    const target = this.#getTarget(output);
    const { hostId, incarnationId } = this.getHost(host).context.self;
    this.getHost(target).manager.handlePeerMessage(hostId, incarnationId, output.message);
    if (fate === 'duplicate' || fate === 'delayEffect') {
      this.inFlight.push({ kind: 'message', host, output });
    }
  }
}
