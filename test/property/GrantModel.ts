import type { GrantMessage } from '../../src/grants/GrantMessage.ts';
import type { GrantOptions } from '../../src/grants/GrantOptions.ts';
import type { GrantCoordinatorHost } from '../../src/grants/GrantCoordinatorDirectory.ts';
import { toId, type HostId, type UpstreamId } from '../../src/lib/ids.ts';
import { ManualClock } from '../../src/time/ManualClock.ts';
import { GrantModelHost } from './GrantModelHost.ts';

const UPSTREAM = toId<UpstreamId>('engine-1');
const LEASE_MS = 400;
/** A host takes its lease for shorter than the platform does. */
const LEASE_SAFETY_FACTOR = 0.98;
const SHORT_DELAY_MS = 1;
const LONG_DELAY_MS = 900;
const ROUND_TRIP_MS = 260;
const STEP_MS = 20;

/** What the network does with a message. */
export type Delivery = 'deliver' | 'lose' | 'double' | 'delay';

/** One thing that happens. */
export interface GrantAction {
  readonly kind:
    | 'send' | 'succeed' | 'giveUp' | 'advance' | 'pause' | 'resume' | 'moveDuty' | 'failOver';
  readonly host: number;
  /** Of a sent attempt. */
  readonly timeoutMs: number;
  /** Of an advance. */
  readonly durationMs: number;
  readonly delivery: Delivery;
}

interface Envelope {
  readonly from: GrantModelHost;
  readonly to: GrantModelHost;
  readonly message: GrantMessage;
  readonly dueAtMs: number;
}

interface Attempt {
  readonly host: GrantModelHost;
  readonly endsAtMs: number;
  /** The host has reported its end, but it runs on. */
  readonly isAbandoned: boolean;
}

/**
 * Hosts, a network with faults, leases and one cold upstream, driven by actions. It counts what
 * runs at the upstream by the true time.
 */
export class GrantModel {
  readonly clock = new ManualClock();

  readonly hosts: GrantModelHost[] = [];

  readonly coldStartLimit: number;

  sentCount = 0;

  #envelopes: Envelope[] = [];

  #attempts: Attempt[] = [];

  /** Attempts that have ended in time without a report of it to their host. */
  #unreported: Attempt[] = [];

  #delivery: Delivery = 'deliver';

  #coordinatorIndex: number | null = null;

  #leaseEndsAtMs = 0;

  #epoch = 0;

  /** Steward that can't renew its lease. */
  #disconnectedCoordinator: GrantModelHost | null = null;

  /** Whom each host takes for the steward: not all learn of a move at once. */
  readonly #views = new Map<GrantModelHost, GrantModelHost>();

  constructor(hostCount: number, bearable: number, options: Partial<GrantOptions> = {}) {
    this.coldStartLimit = bearable;
    for (let index = 0; index < hostCount; index += 1) {
      this.hosts.push(new GrantModelHost(this, index, options));
    }
  }

  /** Attempts that run at the upstream now. */
  get runningCount(): number {
    return this.#attempts.length;
  }

  getCoordinator(host: GrantModelHost): GrantCoordinatorHost | null {
    const steward = this.#views.get(host);
    return steward === undefined
      ? null
      : { hostId: steward.context.self.hostId, address: '127.0.0.1:1' };
  }

  post(from: GrantModelHost, toHostId: HostId, message: GrantMessage): void {
    const to = this.hosts.find((host) => host.context.self.hostId === toHostId);
    if (to === undefined || this.#delivery === 'lose') {
      return;
    }
    const nowMs = this.clock.getMonotonicMs();
    const delayMs = this.#delivery === 'delay' ? LONG_DELAY_MS : SHORT_DELAY_MS;
    const envelope = {
      from, to, message, dueAtMs: nowMs + delayMs,
    };
    this.#envelopes.push(envelope);
    if (this.#delivery === 'double') {
      this.#envelopes.push({ ...envelope, dueAtMs: nowMs + LONG_DELAY_MS });
    }
  }

  act(action: GrantAction): void {
    const host = this.hosts[action.host % this.hosts.length] as GrantModelHost;
    this.#delivery = action.delivery;
    if (action.kind === 'advance') {
      this.#advance(action.durationMs);
    } else if (action.kind === 'pause') {
      host.isPaused = true;
    } else if (action.kind === 'resume') {
      Object.assign(host, { isPaused: false });
      this.#updateView(host);
    } else if (action.kind === 'failOver') {
      this.#failOver(host, action.host % this.hosts.length);
    } else if (action.kind === 'moveDuty') {
      this.#moveDuty(host, action.host % this.hosts.length);
    } else if (!host.isPaused && action.kind === 'send') {
      this.#send(host, action.timeoutMs);
    } else if (!host.isPaused) {
      this.#endAttempt(host, action.kind === 'succeed');
    }
    this.#advance(2 * SHORT_DELAY_MS);
  }

  #send(host: GrantModelHost, timeoutMs: number): void {
    let untilMs = host.holder.tryAcquire(UPSTREAM, this.coldStartLimit, timeoutMs);
    if (untilMs === null) {
      host.holder.requestSlot(UPSTREAM, timeoutMs);
      this.#advance(ROUND_TRIP_MS);
      untilMs = host.holder.tryAcquire(UPSTREAM, this.coldStartLimit, timeoutMs);
    }
    if (untilMs === null) {
      return;
    }
    const remainingMs = (untilMs - host.context.getNowMs()) / host.context.rate;
    this.sentCount += 1;
    const endsAtMs = this.clock.getMonotonicMs() + remainingMs;
    this.#attempts.push({ host, endsAtMs, isAbandoned: false });
  }

  /** Ends an attempt with success, or gives it up while it goes on at the upstream. */
  #endAttempt(host: GrantModelHost, isCertain: boolean): void {
    const unreported = this.#unreported.find((each) => each.host === host);
    if (unreported !== undefined) {
      this.#unreported = this.#unreported.filter((each) => each !== unreported);
      host.holder.release(UPSTREAM, isCertain);
      return;
    }
    const attempt = this.#attempts.find((each) => each.host === host && !each.isAbandoned);
    if (attempt === undefined) {
      return;
    }
    this.#attempts = this.#attempts.filter((each) => each !== attempt);
    if (!isCertain) {
      this.#attempts.push({ ...attempt, isAbandoned: true });
    }
    host.holder.release(UPSTREAM, isCertain);
  }

  #moveDuty(host: GrantModelHost, index: number): void {
    const nowMs = this.clock.getMonotonicMs();
    const renews = this.#coordinatorIndex === index;
    if (host.isPaused || (!renews && nowMs < this.#leaseEndsAtMs)) {
      return;
    }
    const isHeld = renews && nowMs < this.#leaseEndsAtMs;
    this.#epoch += isHeld ? 0 : 1;
    this.#leaseEndsAtMs = nowMs + LEASE_MS;
    this.#coordinatorIndex = index;
    this.#updateView(host);
    if (!isHeld && this.#delivery === 'deliver') {
      this.hosts.forEach((each) => this.#updateView(each));
    }
    const localMs = host.context.getNowMs();
    Object.assign(host, {
      duty: {
        epoch: this.#epoch,
        sinceMs: isHeld ? host.duty?.sinceMs ?? localMs : localMs,
        untilMs: localMs + LEASE_MS * LEASE_SAFETY_FACTOR,
      },
    });
  }

  /** The steward freezes, or is cut off from the platform; another host takes the duty. */
  #failOver(successor: GrantModelHost, index: number): void {
    const steward = this.#coordinatorIndex === null ? undefined : this.hosts[this.#coordinatorIndex];
    if (steward === undefined || steward === successor) {
      return;
    }
    steward.isPaused = this.#delivery !== 'lose';
    this.#disconnectedCoordinator = steward;
    this.#advance(LEASE_MS + STEP_MS);
    this.#disconnectedCoordinator = null;
    this.#moveDuty(successor, index);
  }

  #updateView(host: GrantModelHost): void {
    const steward = this.#coordinatorIndex === null ? undefined : this.hosts[this.#coordinatorIndex];
    if (steward !== undefined) {
      this.#views.set(host, steward);
    }
  }

  #advance(durationMs: number): void {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      this.clock.advance(Math.min(STEP_MS, durationMs - passedMs));
      const nowMs = this.clock.getMonotonicMs();
      this.#expireAttempts(nowMs);
      this.#deliver(nowMs);
      this.hosts.filter((host) => !host.isPaused).forEach((host) => host.holder.tick());
      this.#renew(nowMs);
    }
  }

  #expireAttempts(nowMs: number): void {
    const ended = this.#attempts.filter((attempt) => attempt.endsAtMs <= nowMs);
    this.#unreported.push(...ended.filter((attempt) => !attempt.isAbandoned));
    this.#attempts = this.#attempts.filter((attempt) => attempt.endsAtMs > nowMs);
  }

  #renew(nowMs: number): void {
    const steward = this.#coordinatorIndex === null ? undefined : this.hosts[this.#coordinatorIndex];
    const isDue = nowMs > this.#leaseEndsAtMs - LEASE_MS / 2;
    if (steward !== undefined && steward !== this.#disconnectedCoordinator && isDue) {
      this.#moveDuty(steward, this.#coordinatorIndex as number);
    }
  }

  #deliver(nowMs: number): void {
    const due = this.#envelopes
      .filter((each) => each.dueAtMs <= nowMs && !each.to.isPaused)
      .sort((left, right) => left.dueAtMs - right.dueAtMs);
    this.#envelopes = this.#envelopes.filter((each) => !due.includes(each));
    due.forEach((envelope) => this.#handle(envelope));
  }

  #handle({ from, to, message }: Envelope): void {
    switch (message.kind) {
      case 'grantAsk': {
        const reply = to.coordinator
          .handleSlotRequest(from.context.self.hostId, message, this.coldStartLimit);
        this.post(to, from.context.self.hostId, reply);
        return;
      }
      case 'grantReturn':
        to.coordinator.handleReturn(from.context.self.hostId, message);
        return;
      default:
        to.holder.handleReply(message);
    }
  }
}
