import type { UpstreamEntry } from '../../src/directory/UpstreamEntry.ts';
import { Directory } from '../../src/directory/Directory.ts';
import type { RandomSource } from '../../src/lib/RandomSource.ts';
import { toId, type PoolId, type UpstreamId } from '../../src/lib/ids.ts';
import { QuotaBorrower } from '../../src/quotas/QuotaBorrower.ts';
import { SendQuotas } from '../../src/quotas/SendQuotas.ts';
import { ManualClock } from '../../src/time/ManualClock.ts';
import { createHostChange } from '../support/createHostChange.ts';
import { LeasedQuotaHost } from './LeasedQuotaHost.ts';

const POOL_ID = toId<PoolId>('pool');
const STEP_MS = 10;
/** As the relay: a grant is not used after this time. */
const MAX_GRANT_AGE_MS = 100;
const BOUNDS = { coldOvershoot: 1.5, coldSlack: 5 };
const ENTRY: UpstreamEntry = {
  id: toId<UpstreamId>('u'),
  poolId: POOL_ID,
  address: '127.0.0.1:1',
  failureDomain: 'a',
  isDraining: false,
  slots: 1,
  softwareVersion: 'v1',
  coldRemainingMs: 0,
  startedAtMs: 1,
};

/** How a run differs from a calm one. */
export interface LeasedQuotaFaults {
  /** Fraction of the messages that are lost. */
  readonly lossShare: number;
  /** Longest delay of an offer, and of its answer. */
  readonly maxOfferDelayMs: number;
  /** Longest delay of a grant. */
  readonly maxGrantDelayMs: number;
  /** Chance, in each step, that a host renews its lease. */
  readonly renewChance: number;
  /** Chance, in each step, that one host follows another coordinator. */
  readonly switchChance: number;
  /** Chance, in each step, that one coordinator's process ends and starts again. */
  readonly restartChance: number;
}

/** Hosts that lease their quotas at one upstream, with faults, under virtual time. */
export class LeasedQuotaModel {
  readonly #clock = new ManualClock();

  readonly #directory = new Directory(this.#clock);

  readonly #quotas = new SendQuotas(this.#directory, BOUNDS);

  readonly #random: RandomSource;

  readonly #faults: LeasedQuotaFaults;

  readonly #hosts: readonly LeasedQuotaHost[];

  #messages: { readonly atMs: number; readonly deliver: () => void }[] = [];

  readonly sentAtMs: number[] = [];

  constructor(hostCount: number, random: RandomSource, faults: LeasedQuotaFaults) {
    this.#random = random;
    this.#faults = faults;
    for (let index = 0; index < hostCount; index += 1) {
      this.#directory.apply(createHostChange(`h${index}`, { registeredRevision: index + 1 }));
    }
    this.#directory.apply({
      kind: 'configuration',
      configuration: {
        version: 1,
        routes: [],
        pools: new Map([[POOL_ID, {
          id: POOL_ID,
          healthPath: '/health',
          maxConnections: 10,
          coldRequestsPerSecond: 11,
          batch: null,
          engine: null,
        }]]),
        accountsByKey: null,
        callerLimits: {
          maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
        },
      },
    });
    this.#hosts = Array.from({ length: hostCount }, (_, index) => (
      new LeasedQuotaHost(index, this.#clock, this.#directory, this.#quotas)));
  }

  /**
   * @param durationMs - virtual time to run
   * @param sendsPerStep - requests of all hosts together in a step
   */
  run(durationMs: number, sendsPerStep: number): void {
    for (let step = 0; step * STEP_MS < durationMs; step += 1) {
      this.#clock.advance(STEP_MS);
      this.#deliver();
      this.#drawFaults();
      this.#hosts.forEach((host) => {
        if (this.#random.getFraction() < this.#faults.renewChance) {
          this.#renew(host);
        }
      });
      for (let count = 0; count < sendsPerStep; count += 1) {
        this.#send(this.#pick());
      }
    }
  }

  /** Largest number of sends within any second. */
  get mostInSecond(): number {
    return Math.max(0, ...this.sentAtMs.map((startMs, index) => {
      let end = index;
      while (end < this.sentAtMs.length && (this.sentAtMs[end] ?? 0) < startMs + 1_000) {
        end += 1;
      }
      return end - index;
    }));
  }

  #pick(): LeasedQuotaHost {
    const index = Math.floor(this.#random.getFraction() * this.#hosts.length);
    return this.#hosts[index] as LeasedQuotaHost;
  }

  /** Delivers a message, most of them much sooner than the longest delay. */
  #post(maxDelayMs: number, deliver: () => void): void {
    if (this.#random.getFraction() >= this.#faults.lossShare) {
      const delayMs = this.#random.getFraction() ** 8 * maxDelayMs;
      this.#messages.push({ atMs: this.#clock.getMonotonicMs() + delayMs, deliver });
    }
  }

  #deliver(): void {
    const nowMs = this.#clock.getMonotonicMs();
    const due = this.#messages.filter(({ atMs }) => atMs <= nowMs);
    this.#messages = this.#messages.filter(({ atMs }) => atMs > nowMs);
    due.forEach(({ deliver }) => deliver());
  }

  #drawFaults(): void {
    const { switchChance, restartChance } = this.#faults;
    if (this.#random.getFraction() < switchChance) {
      const host = this.#pick();
      host.coordinatorIndex = Math.floor(this.#random.getFraction() * 3) % this.#hosts.length;
    }
    if (this.#random.getFraction() < restartChance) {
      const index = Math.floor(this.#random.getFraction() * 3) % this.#hosts.length;
      const ended = this.#hosts[index] as LeasedQuotaHost;
      ended.borrower = new QuotaBorrower(this.#clock, this.#directory, this.#quotas);
    }
  }

  #getCoordinator({ coordinatorIndex }: LeasedQuotaHost): LeasedQuotaHost {
    return this.#hosts[coordinatorIndex] as LeasedQuotaHost;
  }

  #renew(host: LeasedQuotaHost): void {
    const coordinator = this.#getCoordinator(host);
    this.#takeBack(host, coordinator);
    const offer = host.lender.createOffer(coordinator.id, []);
    const { maxOfferDelayMs } = this.#faults;
    this.#post(maxOfferDelayMs, () => {
      const moment = coordinator.borrower.accept(offer);
      this.#post(maxOfferDelayMs, () => host.lender.recordMoment(coordinator.id, moment));
    });
  }

  /** Takes leases back from the coordinators that the host followed before. */
  #takeBack(host: LeasedQuotaHost, coordinator: LeasedQuotaHost): void {
    const { maxOfferDelayMs } = this.#faults;
    const current = [{ coordinatorId: coordinator.id, domains: [] }];
    host.lender.findOutdated(current).forEach((lease) => {
      const before = this.#hosts.find(({ id }) => id === lease.coordinatorId) as LeasedQuotaHost;
      this.#post(maxOfferDelayMs, () => {
        const moment = before.borrower.accept({
          hostId: host.id, domains: [], since: null, isReturned: true,
        });
        this.#post(maxOfferDelayMs, () => {
          host.lender.recordMoment(before.id, moment);
          host.lender.recordReturned(lease);
        });
      });
    });
  }

  /** Sends once the coordinator has granted it, if that is not too long ago. */
  #send(host: LeasedQuotaHost): void {
    const coordinator = this.#getCoordinator(host);
    const { borrower } = coordinator;
    if (!borrower.isOpenTo(ENTRY, host.id)) {
      return;
    }
    const source = borrower.take(ENTRY, host.id);
    const grantedAtMs = this.#clock.getMonotonicMs();
    this.#post(this.#faults.maxGrantDelayMs, () => {
      const isInTime = this.#clock.getMonotonicMs() - grantedAtMs <= MAX_GRANT_AGE_MS;
      if (source === 'leased' && isInTime) {
        this.sentAtMs.push(this.#clock.getMonotonicMs());
      } else if (host.own.maySend(ENTRY)) {
        host.own.recordSend(ENTRY);
        this.sentAtMs.push(this.#clock.getMonotonicMs());
      }
    });
  }
}
