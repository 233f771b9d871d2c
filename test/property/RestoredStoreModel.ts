import type { DirectoryChange } from '../../src/directory/DirectoryChange.ts';
import type { UpstreamEntry } from '../../src/directory/UpstreamEntry.ts';
import { toId, type PoolId, type UpstreamId } from '../../src/lib/ids.ts';
import type { RandomSource } from '../../src/lib/RandomSource.ts';
import { ModelFleet } from './ModelFleet.ts';
import type { ModelHost } from './ModelHost.ts';

const POOL_ID = toId<PoolId>('pool');
const STEP_MS = 100;
/** Time after the store's return within which operators and upstreams write again. */
const REWRITE_MS = 2_000;
/** Time after which the store drops the entry of an upstream that writes nothing more. */
const ENTRY_TTL_MS = 4_000;
const MAX_COPY_AGE_MS = 9_000;
const MAX_AWAY_MS = 1_500;
const HOST_RESTART_MS = 1_000;

/** What a host's process has learned, and must not forget by the word of a copy. */
interface HostMemory {
  version: number;
  readonly departed: Set<UpstreamId>;
}

/** Fleet that follows a store which comes back from older copies, beside a record of the truth. */
export class RestoredStoreModel extends ModelFleet {
  /** Broken promises, as text. */
  readonly violations: string[] = [];

  readonly #random: RandomSource;

  readonly #memories = new Map<ModelHost, HostMemory>();

  /** The entries of upstreams that run, as they last wrote them. */
  readonly #upstreams = new Map<UpstreamId, UpstreamEntry>();

  readonly #drainedDomains = new Set<string>();

  #version = 0;

  #upstreamCount = 0;

  #isAway = false;

  /**
   * @param random - source of choices and delays
   * @param hostCount - number of hosts
   * @param isRelayed - whether hosts follow readers; otherwise each follows the store
   */
  constructor(random: RandomSource, hostCount: number, isRelayed: boolean) {
    super(hostCount, isRelayed);
    this.#random = random;
  }

  /** Writes a newer configuration. */
  writeConfiguration(): void {
    this.#version += 1;
    this.#writeWhenPossible(() => this.#getConfigurationChange());
  }

  /** Adds an upstream. */
  addUpstream(): void {
    this.#upstreamCount += 1;
    const entry: UpstreamEntry = {
      id: toId<UpstreamId>(`u${this.#upstreamCount}`),
      poolId: POOL_ID,
      address: 'u:1',
      failureDomain: this.#pick(['a', 'b']),
      isDraining: false,
      slots: 1,
      softwareVersion: 'v1',
      coldRemainingMs: 0,
      startedAtMs: this.#upstreamCount,
    };
    this.#upstreams.set(entry.id, entry);
    this.#writeWhenPossible(() => this.#getUpstreamChange(entry.id));
  }

  /** Lets an upstream announce that it drains. */
  drainUpstream(): void {
    const entry = this.#pick([...this.#upstreams.values()]);
    if (entry !== undefined) {
      this.#upstreams.set(entry.id, { ...entry, isDraining: true });
      this.#writeWhenPossible(() => this.#getUpstreamChange(entry.id));
    }
  }

  /** Ends an upstream, whose entry the store then removes. */
  endUpstream(): void {
    const entry = this.#pick([...this.#upstreams.values()]);
    if (entry !== undefined) {
      this.#upstreams.delete(entry.id);
      this.#writeWhenPossible(() => this.#getUpstreamChange(entry.id));
    }
  }

  /** Starts or ends the drain of a failure domain. */
  toggleDomain(): void {
    const domain = this.#pick(['a', 'b']);
    if (!this.#drainedDomains.delete(domain)) {
      this.#drainedDomains.add(domain);
    }
    this.#writeWhenPossible(() => this.#getDomainChange(domain));
  }

  /** Kills a host and starts it again. */
  restartHost(): void {
    const host = this.#pick(this.hosts.filter(({ isDead }) => !isDead));
    host?.stop();
    this.time.sleep(HOST_RESTART_MS).then(() => {
      if (host !== undefined) {
        this.startHost(host);
      }
    }).catch((error: unknown) => this.recordError(error));
  }

  /** Cuts a host off from its peers for a while. */
  cutPeers(): void {
    const host = this.#pick(this.hosts);
    if (host !== undefined) {
      host.peersCutUntilMs = this.time.nowMs + this.#random.getFraction() * 3_000;
    }
  }

  /** Takes the store away for a moment; it comes back from an older copy. */
  restoreStore(): void {
    if (this.#isAway) {
      return;
    }
    this.#isAway = true;
    const copiedAtMs = this.time.nowMs - this.#random.getFraction() * MAX_COPY_AGE_MS;
    const awayMs = this.#random.getFraction() * MAX_AWAY_MS;
    this.hosts.forEach((host) => {
      const cutHost = host;
      cutHost.storeCutUntilMs = this.time.nowMs + awayMs;
    });
    this.time.sleep(awayMs).then(() => {
      this.store.restore(copiedAtMs);
      this.#isAway = false;
      this.#writeAgain();
    }).catch((error: unknown) => this.recordError(error));
  }

  /**
   * Lets time pass and checks the promises in each step.
   *
   * @param durationMs - time to pass
   */
  async advance(durationMs: number): Promise<void> {
    const untilMs = this.time.nowMs + durationMs;
    while (this.time.nowMs < untilMs) {
      // eslint-disable-next-line no-await-in-loop -- one step after the other
      await this.time.run(Math.min(STEP_MS, untilMs - this.time.nowMs));
      this.hosts.filter(({ isDead }) => !isDead).forEach((host) => this.#checkHost(host));
    }
  }

  /** Checks that every host knows just what is true. */
  checkConverged(): void {
    const expected = [...this.#upstreams.values()]
      .filter(({ isDraining, failureDomain }) => (
        !isDraining && !this.#drainedDomains.has(failureDomain)))
      .map(({ id }) => id).sort().join(' ');
    this.hosts.forEach(({ entry: { id }, directory }) => {
      const usable = directory.getUsable(POOL_ID).map(({ entry }) => entry.id).sort().join(' ');
      const version = directory.configuration?.version ?? 0;
      if (usable !== expected || version !== this.#version) {
        this.violations.push(`${id}: version ${version} of ${this.#version}, `
          + `upstreams ${usable} instead of ${expected}`);
      }
    });
  }

  #pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.#random.getFraction() * items.length)] as Item;
  }

  protected override startHost(host: ModelHost): void {
    super.startHost(host);
    const memory: HostMemory = { version: 0, departed: new Set() };
    this.#memories.set(host, memory);
    host.directory.onChange((change) => {
      switch (change.kind) {
        case 'upstream':
          if (change.entry.isDraining) {
            memory.departed.add(change.entry.id);
          }
          break;
        case 'upstreamGone':
          // Entries of upstreams that still run may be missing for a moment.
          if (!this.#upstreams.has(change.upstreamId)) {
            memory.departed.add(change.upstreamId);
          }
          break;
        default:
          break;
      }
      this.#checkDomainWord(host, change);
    });
  }

  /** The truth changes before its word arrives; a word against the truth is the copy's. */
  #checkDomainWord(host: ModelHost, change: DirectoryChange): void {
    const isWrongEnd = change.kind === 'domainRestored'
      && this.#drainedDomains.has(change.failureDomain);
    if (isWrongEnd && this.#domainChangedAgoMs(change.failureDomain) > REWRITE_MS * 2) {
      this.violations.push(`${host.entry.id} ended the drain of ${change.failureDomain}`);
    }
  }

  #domainChangedAgoMs(domain: string): number {
    const index = this.store.changes.findLastIndex((change) => (
      (change.kind === 'domainDrained' || change.kind === 'domainRestored')
      && change.failureDomain === domain));
    return this.time.nowMs - (this.store.writtenAtMs[index] ?? 0);
  }

  #checkHost(host: ModelHost): void {
    const memory = this.#memories.get(host);
    if (memory === undefined) {
      return;
    }
    const version = host.directory.configuration?.version ?? 0;
    if (version < memory.version) {
      this.violations.push(`${host.entry.id} went back to version ${version}`);
    }
    memory.version = Math.max(memory.version, version);
    const revived = [...memory.departed].filter((id) => host.directory.isUsable(id));
    if (revived.length > 0) {
      this.violations.push(`${host.entry.id} uses ${revived.join(' ')} again`);
    }
  }

  /** Writes the truth about one entry, at once or when the store is back. */
  #writeWhenPossible(getChange: () => DirectoryChange): void {
    if (!this.#isAway) {
      this.store.write(getChange(), this.time.nowMs);
    }
  }

  #writeAgain(): void {
    const changes = [
      () => this.#getConfigurationChange(),
      () => this.#getDomainChange('a'),
      () => this.#getDomainChange('b'),
      ...[...this.#upstreams.keys()].map((id) => () => this.#getUpstreamChange(id)),
    ];
    changes.forEach((getChange) => this.#writeLater(getChange, REWRITE_MS));
    this.hosts.forEach(({ entry }) => (
      this.#writeLater(() => ({ kind: 'host', entry }), REWRITE_MS)));
    const stale = this.store.getSnapshot().changes
      .flatMap((change) => (change.kind === 'upstream' ? [change.entry.id] : []))
      .filter((id) => !this.#upstreams.has(id));
    stale.forEach((id) => this.#writeLater(() => this.#getUpstreamChange(id), ENTRY_TTL_MS));
  }

  #writeLater(getChange: () => DirectoryChange, maxDelayMs: number): void {
    const { era } = this.store;
    this.time.sleep(this.#random.getFraction() * maxDelayMs).then(() => {
      if (this.store.era === era) {
        this.#writeWhenPossible(getChange);
      }
    }).catch((error: unknown) => this.recordError(error));
  }

  #getUpstreamChange(id: UpstreamId): DirectoryChange {
    const entry = this.#upstreams.get(id);
    return entry === undefined
      ? { kind: 'upstreamGone', upstreamId: id }
      : { kind: 'upstream', entry };
  }

  #getDomainChange(failureDomain: string): DirectoryChange {
    return this.#drainedDomains.has(failureDomain)
      ? { kind: 'domainDrained', failureDomain }
      : { kind: 'domainRestored', failureDomain };
  }

  #getConfigurationChange(): DirectoryChange {
    return {
      kind: 'configuration',
      configuration: {
        version: this.#version,
        routes: [],
        pools: new Map(),
        accountsByKey: null,
        callerLimits: {
          maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
        },
      },
    };
  }
}
