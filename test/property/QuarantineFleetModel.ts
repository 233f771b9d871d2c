import { pino } from 'pino';
import { Directory } from '../../src/directory/Directory.ts';
import type { UpstreamEntry } from '../../src/directory/UpstreamEntry.ts';
import {
  toId, type HostId, type PoolId, type UpstreamId,
} from '../../src/lib/ids.ts';
import type { RandomSource } from '../../src/lib/RandomSource.ts';
import { RequestQuarantine } from '../../src/quarantine/RequestQuarantine.ts';
import { RequestSubject } from '../../src/quarantine/RequestSubject.ts';
import { QuarantineStoreModel } from './QuarantineStoreModel.ts';
import { VirtualTime } from './VirtualTime.ts';

const POOL_ID = toId<PoolId>('pool');
const CRASH_MS = 20;
const DOWN_MS = 1_000;
const WORK_MS = 60;
/** Time of a generation until its upstream begins to answer, and until it has answered. */
const GENERATION_CRASH_MS = 300;
const GENERATION_MS = 1_200;
/** Longest delay until a host receives a change of the store. */
const MAX_LAG_MS = 1_500;
/** Time within which a host in contact with the store has to know its content. */
export const CONTACT_MS = 3_000;
const MAX_ADMISSION_WAIT_MS = 200;
const REFUSED_FRACTION = 0.9;
/** Fraction of the sends that go to an upstream known to be up. */
const LIVE_CHOICE_FRACTION = 0.8;

interface ModelUpstream {
  entry: UpstreamEntry;
  isDown: boolean;
}

interface ModelQuarantineHost {
  readonly id: HostId;
  directory: Directory;
  quarantine: RequestQuarantine;
  /** Number of changes that it has applied, and the era that they are of. */
  changeCount: number;
  era: number;
  /** Whether it is cut off from the store. */
  isCut: boolean;
  disturbedAtMs: number;
}

/** Outcome of one request of a caller. */
export type ModelOutcome = 'answered' | 'broken' | 'refused';

/** A request of a caller; it crashes its upstream when its body or a part begins with `crash`. */
export interface ModelRequest {
  readonly body: string;
  /** Ids of the parts of its prompt, without the last one. */
  readonly sharedPartIds?: readonly string[];
}

/** Arrival of a request at an upstream. */
export interface ModelArrival {
  /** Body or part by which it crashes its upstream; its body if it does not. */
  readonly cause: string;
  readonly atMs: number;
  /** Whether its host and the store had been free of faults for {@link CONTACT_MS}. */
  readonly isInContact: boolean;
}

/** Hosts that share a store, upstreams that crash under some requests, and faults of both. */
export class QuarantineFleetModel {
  readonly time = new VirtualTime();

  readonly store = new QuarantineStoreModel();

  readonly arrivals: ModelArrival[] = [];

  /** Times at which requests crashed an upstream, by the body or part that caused it. */
  readonly crashTimesMs = new Map<string, number[]>();

  readonly #random: RandomSource;

  readonly #upstreams: ModelUpstream[] = [];

  readonly #hosts: ModelQuarantineHost[];

  #startCount = 0;

  #storeDisturbedAtMs = -Infinity;

  /**
   * @param random - source of delays and choices
   * @param hostCount - number of hosts
   * @param upstreamCount - number of upstreams
   */
  constructor(random: RandomSource, hostCount: number, upstreamCount: number) {
    this.#random = random;
    for (let index = 0; index < upstreamCount; index += 1) {
      this.#upstreams.push({ entry: this.#createEntry(), isDown: false });
    }
    this.#hosts = Array.from({ length: hostCount }, (_, index) => (
      this.#createHost(toId<HostId>(`h${index}`))));
    this.#hosts.forEach((host) => this.#follow(host));
  }

  /** Number of hosts. */
  get hostCount(): number {
    return this.#hosts.length;
  }

  /**
   * Sends a request to a host and waits for its outcome.
   *
   * @param hostIndex - index of the host
   * @param request - see {@link ModelRequest}
   * @returns the outcome
   */
  async send(
    hostIndex: number,
    { body, sharedPartIds = [] }: ModelRequest,
  ): Promise<ModelOutcome> {
    const host = this.#getHost(hostIndex);
    const { quarantine } = host;
    const subject = new RequestSubject({
      account: 'a', method: 'POST', host: 'h', path: '/', body: Buffer.from(body), sharedPartIds,
    });
    const crashCause = [body, ...sharedPartIds].find((text) => text.startsWith('crash')) ?? null;
    const isGeneration = sharedPartIds.length > 0;
    const admission = quarantine.isFree(subject)
      ? { kind: 'free' } as const
      : await quarantine.admit(subject, 'r', MAX_ADMISSION_WAIT_MS);
    if (admission.kind === 'refused') {
      return 'refused';
    }
    const trial = admission.kind === 'trial' ? admission.trial : null;
    const upstream = this.#chooseUpstream();
    if (trial !== null && !await quarantine.isAlive(upstream.entry)) {
      quarantine.returnTrial(trial);
      return 'refused';
    }
    const { entry } = upstream;
    const sentAtMs = this.time.nowMs;
    const wasDown = upstream.isDown;
    // An address without a listener refuses the connection, or a proxy breaks it.
    if (wasDown && this.#random.getFraction() < REFUSED_FRACTION) {
      if (trial !== null) {
        quarantine.returnTrial(trial);
      }
      return 'broken';
    }
    if (!wasDown) {
      this.arrivals.push({
        cause: crashCause ?? body, atMs: sentAtMs, isInContact: this.#isInContact(host),
      });
    }
    if (wasDown) {
      await this.time.sleep(1);
    } else if (crashCause !== null) {
      await this.time.sleep(isGeneration ? GENERATION_CRASH_MS : CRASH_MS);
      this.#crash(upstream, entry, crashCause);
    } else {
      await this.time.sleep(isGeneration ? GENERATION_MS : WORK_MS);
    }
    if (upstream.entry !== entry || upstream.isDown) {
      quarantine.recordBrokenExchange(subject, entry, {
        sentAtMs: this.time.clock.getMonotonicMs() - (this.time.nowMs - sentAtMs), trial,
      });
      return 'broken';
    }
    quarantine.recordAnswered(subject, { isSuccess: true, trial });
    return 'answered';
  }

  /**
   * Crashes random upstreams at the same moment, whether they run a request or not.
   *
   * @param part - probability for each upstream to crash
   */
  endUpstreams(part: number): void {
    this.#upstreams
      .filter(() => this.#random.getFraction() < part)
      .forEach((upstream) => this.#crash(upstream, upstream.entry, null));
  }

  /**
   * Kills a host and starts it again at once.
   *
   * @param hostIndex - index of the host
   */
  restartHost(hostIndex: number): void {
    const host = this.#getHost(hostIndex);
    host.quarantine.close();
    Object.assign(host, this.#createHost(host.id));
    host.disturbedAtMs = this.time.nowMs;
  }

  /**
   * Cuts a host off from the store.
   *
   * @param hostIndex - index of the host
   * @param durationMs - duration of the cut
   */
  async cutHost(hostIndex: number, durationMs: number): Promise<void> {
    const host = this.#getHost(hostIndex);
    host.isCut = true;
    await this.time.sleep(durationMs);
    host.isCut = false;
    host.disturbedAtMs = this.time.nowMs;
  }

  /**
   * Makes the store unavailable for a while.
   *
   * @param durationMs - duration of the outage
   */
  async stopStore(durationMs: number): Promise<void> {
    this.store.isDown = true;
    await this.time.sleep(durationMs);
    this.store.isDown = false;
    this.#storeDisturbedAtMs = this.time.nowMs;
  }

  /**
   * Makes the store unavailable for a while, after which it comes back from an older copy.
   *
   * @param durationMs - duration of the outage
   * @param lostCount - number of changes that the copy lacks
   */
  async restoreStore(durationMs: number, lostCount: number): Promise<void> {
    await this.stopStore(durationMs);
    this.store.restore(lostCount);
  }

  #getHost(index: number): ModelQuarantineHost {
    const host = this.#hosts[index % this.#hosts.length];
    if (host === undefined) {
      throw new RangeError('a fleet has at least one host');
    }
    return host;
  }

  #chooseUpstream(): ModelUpstream {
    const live = this.#upstreams.filter(({ isDown }) => !isDown);
    const isLiveChosen = live.length > 0 && this.#random.getFraction() < LIVE_CHOICE_FRACTION;
    const from = isLiveChosen ? live : this.#upstreams;
    const chosen = from[Math.floor(this.#random.getFraction() * from.length)];
    if (chosen === undefined) {
      throw new RangeError('a fleet has at least one upstream');
    }
    return chosen;
  }

  #isInContact(host: ModelQuarantineHost): boolean {
    const sinceMs = this.time.nowMs - CONTACT_MS;
    return !host.isCut && !this.store.isDown
      && host.disturbedAtMs <= sinceMs && this.#storeDisturbedAtMs <= sinceMs;
  }

  #crash(upstream: ModelUpstream, entry: UpstreamEntry, cause: string | null): void {
    if (upstream.entry !== entry || upstream.isDown) {
      return;
    }
    upstream.isDown = true;
    if (cause !== null) {
      const timesMs = this.crashTimesMs.get(cause) ?? [];
      this.crashTimesMs.set(cause, [...timesMs, this.time.nowMs]);
    }
    this.time.sleep(DOWN_MS).then(() => {
      Object.assign(upstream, { entry: this.#createEntry(), isDown: false });
      this.#hosts.forEach(({ directory }) => (
        directory.apply({ kind: 'upstream', entry: upstream.entry })));
    });
  }

  #createEntry(): UpstreamEntry {
    this.#startCount += 1;
    return {
      id: toId<UpstreamId>(`u${this.#startCount}`),
      startedAtMs: this.time.nowMs,
      poolId: POOL_ID,
      address: 'u:1',
      failureDomain: 'a',
      isDraining: false,
      slots: 4,
      softwareVersion: 'v1',
      coldRemainingMs: 0,
    };
  }

  #createHost(id: HostId): ModelQuarantineHost {
    const directory = new Directory(this.time.clock);
    this.#upstreams.forEach(({ entry }) => directory.apply({ kind: 'upstream', entry }));
    const quarantine = new RequestQuarantine({
      clock: this.time.clock,
      hostId: id,
      directory,
      store: this.#createStoreView(id),
      check: {
        check: async (entry) => (
          this.#upstreams.some((upstream) => upstream.entry === entry && !upstream.isDown)
            ? 'alive'
            : 'ended'),
      },
      random: this.#random,
      logger: pino({ level: 'silent' }),
      schedule: (delayMs, action) => {
        this.time.sleep(delayMs).then(action);
      },
    });
    this.store.getSnapshot().forEach(({ change }) => directory.apply(change));
    return {
      id,
      directory,
      quarantine,
      changeCount: this.store.history.length,
      era: this.store.era,
      isCut: false,
      disturbedAtMs: -Infinity,
    };
  }

  /** Creates a view of the store that throws while the host is cut off from it. */
  #createStoreView(id: HostId): QuarantineStoreModel {
    const assertReached = (): void => {
      if (this.#hosts.find((host) => host.id === id)?.isCut === true) {
        throw new Error('the host is cut off from the store');
      }
    };
    return new Proxy(this.store, {
      get: (target, name) => {
        const value: unknown = Reflect.get(target, name);
        return typeof value === 'function'
          ? async (...args: unknown[]) => {
            assertReached();
            return value.apply(target, args) as unknown;
          }
          : value;
      },
    });
  }

  #deliverChanges(host: ModelQuarantineHost): void {
    const { era, history } = this.store;
    const isNewEra = host.era !== era;
    const before = host.era;
    const records = isNewEra ? this.store.getSnapshot() : history.slice(host.changeCount);
    Object.assign(host, { era, changeCount: history.length });
    if (isNewEra) {
      host.directory.apply({ kind: 'storeEraChanged', era, before });
    }
    records.forEach(({ change }) => host.directory.apply(change));
  }

  /** Applies the changes of the store to a host after random delays, without end. */
  async #follow(host: ModelQuarantineHost): Promise<void> {
    for (;;) {
      // eslint-disable-next-line no-await-in-loop -- simulates the delay
      await this.time.sleep(this.#random.getFraction() * MAX_LAG_MS);
      if (!host.isCut && !this.store.isDown) {
        this.#deliverChanges(host);
      }
    }
  }
}
