import {
  toId, type HostId, type PoolId, type UpstreamId,
} from '../../src/lib/ids.ts';
import { MODEL_BOUNDS, ModelHost, type ModelEnvironment } from './ModelHost.ts';
import { ModelStore } from './ModelStore.ts';
import { VirtualTime } from './VirtualTime.ts';

const LEASE_TTL_MS = 6_000;
const RESTART_MS = 3_000;

/** What may befall a host. */
export type HostFault = 'kill' | 'freeze' | 'cutFromStore' | 'cutFromPeers';

/** A fleet whose hosts follow the directory from one another, under drawn troubles. */
export class RelayedFleetModel implements ModelEnvironment {
  readonly time = new VirtualTime();

  readonly store = new ModelStore();

  readonly isRelayed: boolean;

  /** Longest time that a change was not known to a host that was in touch. */
  worstLagMs = 0;

  readonly errors: unknown[] = [];

  readonly #hosts: ModelHost[];

  #upstreamCount = 0;

  /**
   * @param hostCount - how many hosts there are
   * @param isRelayed - whether hosts follow one another, or each the store
   */
  constructor(hostCount: number, isRelayed: boolean) {
    this.isRelayed = isRelayed;
    this.#hosts = Array.from({ length: hostCount }, (_, index) => new ModelHost(this, index));
    this.#hosts.forEach(({ entry }) => this.store.write({ kind: 'host', entry }, 0));
  }

  /** Starts all hosts. */
  start(): void {
    this.#hosts.forEach((host) => host.start());
  }

  /** @param error - a loop of a host has ended by it */
  recordError(error: unknown): void {
    this.errors.push(error);
  }

  /**
   * @param id - a host
   * @returns it
   */
  getHost(id: HostId): ModelHost {
    const host = this.#hosts.find(({ entry }) => entry.id === id);
    if (host === undefined) {
      throw new RangeError(`no host ${id}`);
    }
    return host;
  }

  /** An upstream comes; every host in touch has to know it in time. */
  change(): void {
    this.#upstreamCount += 1;
    this.store.write({
      kind: 'upstream',
      entry: {
        id: toId<UpstreamId>(`u${this.#upstreamCount}`),
        poolId: toId<PoolId>('pool'),
        address: 'u:1',
        failureDomain: 'a',
        isDraining: false,
        slots: 1,
        coldRemainingMs: 0,
        startedAtMs: 1,
      },
    }, this.time.nowMs);
  }

  /**
   * @param fault - what happens
   * @param pick - to which host, by its remainder; a reader where `isReader`
   * @param isReader - whether it strikes a host that others follow
   * @param durationMs - for how long
   */
  injectFault(fault: HostFault, pick: number, isReader: boolean, durationMs: number): void {
    const alive = this.#hosts.filter(({ isDead }) => !isDead);
    const readers = alive.filter((host) => host.readerSelector.isReader);
    const candidates = isReader && readers.length > 0 ? readers : alive;
    const host = candidates[pick % candidates.length];
    if (host === undefined) {
      return;
    }
    const untilMs = this.time.nowMs + durationMs;
    // Without its peers a host keeps its path to the store, and with it its bounds.
    if (fault !== 'cutFromPeers') {
      host.disturbedAtMs = Math.max(host.disturbedAtMs, untilMs);
    }
    switch (fault) {
      case 'kill':
        this.#kill(host);
        break;
      case 'freeze':
        host.frozenUntilMs = untilMs;
        break;
      case 'cutFromStore':
        host.storeCutUntilMs = untilMs;
        break;
      default:
        host.peersCutUntilMs = untilMs;
    }
  }

  /**
   * @param durationMs - lets time pass, and checks what hosts know meanwhile
   */
  async advance(durationMs: number): Promise<void> {
    const untilMs = this.time.nowMs + durationMs;
    while (this.time.nowMs < untilMs) {
      // eslint-disable-next-line no-await-in-loop -- one step after the other
      await this.time.run(Math.min(100, untilMs - this.time.nowMs));
      this.#check();
    }
  }

  /** Ends all hosts. */
  stop(): void {
    this.#hosts.forEach((host) => host.stop());
  }

  #kill(host: ModelHost): void {
    host.stop();
    const { entry } = host;
    this.time.sleep(RESTART_MS).then(() => {
      host.start();
      this.store.write({ kind: 'host', entry }, this.time.nowMs);
    }).catch((error: unknown) => this.recordError(error));
    this.time.sleep(LEASE_TTL_MS).then(() => {
      this.store.write({ kind: 'hostGone', hostId: entry.id }, this.time.nowMs);
      this.store.write({ kind: 'host', entry }, this.time.nowMs);
    }).catch((error: unknown) => this.recordError(error));
  }

  #check(): void {
    const hostsInContact = this.#hosts.filter(({ isDead, disturbedAtMs }) => (
      !isDead && this.time.nowMs - disturbedAtMs >= MODEL_BOUNDS.contactMs));
    this.store.changes.forEach((change, index) => {
      if (change.kind === 'upstream') {
        const ageMs = this.time.nowMs - (this.store.writtenAtMs[index] ?? 0);
        const isMissing = hostsInContact
          .some(({ directory }) => directory.getUpstream(change.entry.id) === undefined);
        this.worstLagMs = isMissing ? Math.max(this.worstLagMs, ageMs) : this.worstLagMs;
      }
    });
  }
}
