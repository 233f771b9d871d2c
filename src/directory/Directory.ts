import { isDeepStrictEqual } from 'node:util';
import type { HostId, PoolId, UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { DirectoryChange } from './DirectoryChange.ts';
import { getChangeKey } from './getChangeKey.ts';
import { getSnapshotRank } from './getSnapshotRank.ts';
import type { DirectorySnapshot } from './DirectoryStore.ts';
import { getEra, type EraBound } from './EraBound.ts';
import type { KnownHost } from './HostEntry.ts';
import type { ServingConfiguration } from './ServingConfiguration.ts';
import { StoreRollbackFilter } from './StoreRollbackFilter.ts';
import { UpstreamClosureTable } from './UpstreamClosureTable.ts';
import { UpstreamIndex } from './UpstreamIndex.ts';
import { AdvertisedLimitTable, type AdvertisedLimit } from './AdvertisedLimitTable.ts';
import type { KnownUpstream, UpstreamEntry, UpstreamLifetime } from './UpstreamEntry.ts';

export type { KnownUpstream } from './UpstreamEntry.ts';

/** The largest number of hosts as recorded in the store. */
export interface RecordedHostCount {
  readonly count: number;
  /** Revision of the record; 0 when there is none. */
  readonly revision: EraBound;
}

/** Part of the store's content that was not taken, in the first seconds of a new era. */
export interface SnapshotDifference {
  /** Known entries that the store lacks and that stay in use. */
  readonly keptCount: number;
  /** Entries of the store that were not taken, since they had been removed. */
  readonly outdatedCount: number;
}

/**
 * This host's view of the configuration, upstreams, failure domains and hosts. A configuration is
 * only replaced by a higher version, and never taken from a store that came back from an older copy
 * while another host knows a higher one.
 */
export class Directory {
  readonly #clock: Clock;

  readonly #upstreams = new UpstreamIndex();

  readonly #hosts = new Map<HostId, KnownHost>();

  /** Pools with an order for a rollout. */
  readonly #orderedPools = new Set<PoolId>();

  readonly #closures: UpstreamClosureTable;

  readonly #advertisedLimits: AdvertisedLimitTable;

  readonly #listeners: ((change: DirectoryChange) => void)[] = [];

  readonly #rollbackFilter: StoreRollbackFilter;

  /** Era of the store's content; null before it was read. */
  #storeEra: number | null = null;

  #configuration: ServingConfiguration | null = null;

  #largestHostCount = 1;

  #recordedHostCount: RecordedHostCount = { count: 0, revision: 0 };

  #confirmedAtMs: number | null = null;

  /**
   * @param clock - tells when back-offs, cold times and limits end
   */
  constructor(clock: Clock) {
    this.#clock = clock;
    this.#closures = new UpstreamClosureTable(clock);
    this.#rollbackFilter = new StoreRollbackFilter(clock);
    this.#advertisedLimits = new AdvertisedLimitTable(clock);
  }

  /** The version in force; null before the first one is known. */
  get configuration(): ServingConfiguration | null {
    return this.#configuration;
  }

  /** The hosts that hold a lease, including this host once it is registered. */
  get hosts(): ReadonlyMap<HostId, KnownHost> {
    return this.#hosts;
  }

  /**
   * Largest number of hosts that ever held a lease at the same time, seen by this process or
   * recorded in the store; the divisor for shares of a common bound.
   */
  get largestHostCount(): number {
    return Math.max(this.#largestHostCount, this.#recordedHostCount.count);
  }

  /** The record of the largest host count in the store, for processes that start later. */
  get recordedHostCount(): RecordedHostCount {
    return this.#recordedHostCount;
  }

  /** Time until the whole store has to be read again; null when following its changes suffices. */
  get nextReadInMs(): number | null {
    return this.#rollbackFilter.nextReadInMs;
  }

  /** Time since the store last confirmed this directory; null before its first answer. */
  get ageMs(): number | null {
    return this.#confirmedAtMs === null
      ? null
      : this.#clock.getMonotonicMs() - this.#confirmedAtMs;
  }

  /**
   * Records that this directory was up to date with the store.
   *
   * @param agoMs - time since then
   */
  recordConfirmation(agoMs = 0): void {
    const atMs = this.#clock.getMonotonicMs() - agoMs;
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs ?? -Infinity, atMs);
  }

  /** @param listener - called after each effective change */
  onChange(listener: (change: DirectoryChange) => void): void {
    this.#listeners.push(listener);
  }

  /**
   * @param upstreamId - the upstream
   * @returns its entry and state; undefined when it is not in the directory
   */
  getUpstream(upstreamId: UpstreamId): KnownUpstream | undefined {
    return this.#upstreams.get(upstreamId);
  }

  /**
   * @param upstreamId - the upstream
   * @returns whether new requests may be sent to it now
   */
  isUsable(upstreamId: UpstreamId): boolean {
    const upstream = this.#upstreams.get(upstreamId);
    return upstream !== undefined && this.#isOpen(upstream);
  }

  /**
   * @param upstreamId - the upstream
   * @returns whether a back-off that it asked this host for is in progress
   */
  isBackingOff(upstreamId: UpstreamId): boolean {
    return this.#closures.getBackOffMs(upstreamId) > 0;
  }

  /**
   * @param lifetime - a process of an upstream
   * @returns whether it is known to be leaving or draining, or is gone
   */
  isLeaving(lifetime: UpstreamLifetime): boolean {
    const entry = this.#upstreams.get(lifetime.id)?.entry;
    return entry === undefined || entry.isDraining || this.#closures.isLeaving(lifetime);
  }

  /**
   * @param upstreamId - the upstream
   * @returns whether its back-off has just ended
   */
  isReopening(upstreamId: UpstreamId): boolean {
    return this.#closures.isReopening(upstreamId);
  }

  /**
   * @param lifetime - a process of an upstream
   * @returns requests per second, summed over all hosts; null when it advertises no limit
   */
  getRequestLimit(lifetime: UpstreamLifetime): number | null {
    return this.#advertisedLimits.getRequestsPerSecond(lifetime);
  }

  /** Whether any upstream has ever advertised a limit; usually none has. */
  get hasAdvertisedLimits(): boolean {
    return !this.#advertisedLimits.isEmpty;
  }

  /** @returns the failure domains of all hosts and upstreams */
  getFailureDomains(): Set<string> {
    return new Set([
      ...this.#upstreams.getAll().map(({ entry }) => entry.failureDomain),
      ...[...this.#hosts.values()].map(({ failureDomain }) => failureDomain),
    ]);
  }

  /** @returns the known upstreams that advertise a limit, and when it was last received */
  getLimitedUpstreams(): { readonly entry: UpstreamEntry; readonly receivedAtMs: number }[] {
    return this.#advertisedLimits.activeLimits.flatMap(({ lifetime, receivedAtMs }) => {
      const upstream = this.#upstreams.get(lifetime.id);
      return upstream === undefined || this.getRequestLimit(upstream.entry) === null
        ? []
        : [{ entry: upstream.entry, receivedAtMs }];
    });
  }

  /**
   * @param lifetime - a process of an upstream
   * @returns the newest limit that it advertised; undefined when it never advertised one
   */
  getAdvertisedLimit(lifetime: UpstreamLifetime): AdvertisedLimit | undefined {
    return this.#advertisedLimits.get(lifetime);
  }

  /**
   * @param poolId - a pool
   * @param versions - software versions whose upstreams count as closed from now on
   */
  setBarredVersions(poolId: PoolId, versions: ReadonlySet<string | null>): void {
    this.#upstreams.barVersions(poolId, versions);
  }

  /**
   * @param poolId - the pool
   * @returns its upstreams to which this host may send new requests
   */
  getUsable(poolId: PoolId): KnownUpstream[] {
    return this.getListed(poolId).filter((upstream) => this.#isOpen(upstream));
  }

  /**
   * @param poolId - the pool
   * @returns its upstreams that the store lists as open, which are the same for all hosts
   */
  getListed(poolId: PoolId): readonly KnownUpstream[] {
    return this.#upstreams.getListed(poolId);
  }

  /** @returns the upstreams of all pools that the store lists as open */
  getAllListed(): KnownUpstream[] {
    return this.#upstreams.getAll().filter((upstream) => this.#upstreams.isListed(upstream));
  }

  /**
   * @param poolId - the pool
   * @returns the software versions of all its entries, those of leaving upstreams included
   */
  getSoftwareVersions(poolId: PoolId): Set<string | null> {
    return this.#upstreams.getSoftwareVersions(poolId);
  }

  /**
   * @param poolId - the pool
   * @returns its upstreams that the store lists as open but that asked this host to send nothing
   */
  getClosedIds(poolId: PoolId): UpstreamId[] {
    return this.getListed(poolId)
      .filter((upstream) => !this.#isOpen(upstream))
      .map(({ entry }) => entry.id);
  }

  /**
   * Computes when a pool without a usable upstream gets one, from the back-offs of its upstreams.
   *
   * @param poolId - the pool
   * @returns time until the first of its upstreams ends its back-off; 0 when one is usable now;
   * null when none is known to become usable
   */
  getTimeUntilUsableMs(poolId: PoolId): number | null {
    const waitsMs = this.getListed(poolId)
      .filter(({ entry }) => !this.#closures.isLeaving(entry))
      .map(({ entry }) => this.#closures.getBackOffMs(entry.id));
    return waitsMs.length === 0 ? null : Math.min(...waitsMs);
  }

  /** @param change - a change from the store or from a notice of an upstream */
  apply(change: DirectoryChange): void {
    if (change.kind === 'upstream' && this.#isRestart(change.entry)) {
      // The previous process and its state are gone, although its id stays in use.
      this.apply({ kind: 'upstreamGone', upstreamId: change.entry.id });
    }
    if (this.#update(change)) {
      this.#listeners.forEach((listener) => listener(change));
    }
  }

  /**
   * Applies the whole content of the store; entries that it lacks are removed. In the first seconds
   * of a new era of the store, its content is taken only where it is not older than what is known.
   *
   * @param snapshot - the content
   * @returns how far the content was not taken
   */
  applySnapshot(snapshot: DirectorySnapshot): SnapshotDifference {
    this.#enterEra(getEra(snapshot.revision));
    const presentKeys = new Set(snapshot.changes.map((change) => getChangeKey(change)));
    const removals: DirectoryChange[] = [
      ...this.#upstreams.getAll()
        .map(({ entry }) => ({ kind: 'upstreamGone', upstreamId: entry.id } as const)),
      ...[...this.#upstreams.drainedDomains]
        .map((failureDomain) => ({ kind: 'domainRestored', failureDomain } as const)),
      ...[...this.#hosts.keys()].map((hostId) => ({ kind: 'hostGone', hostId } as const)),
      ...[...this.#orderedPools].map((poolId) => ({ kind: 'rolloutWithdrawn', poolId } as const)),
    ];
    const missing = removals.filter((change) => !presentKeys.has(getChangeKey(change)));
    const current = snapshot.changes
      .filter((change) => !this.#rollbackFilter.isOutdated(change));
    [...current]
      .sort((left, right) => getSnapshotRank(left) - getSnapshotRank(right))
      .forEach((change) => this.apply(change));
    const { isKeepingMissing } = this.#rollbackFilter;
    if (!isKeepingMissing) {
      missing.forEach((change) => this.apply(change));
    }
    this.#rollbackFilter.recordRead();
    return {
      keptCount: isKeepingMissing ? missing.length : 0,
      outdatedCount: snapshot.changes.length - current.length,
    };
  }

  #enterEra(era: number): void {
    const before = this.#storeEra;
    this.#storeEra = era;
    if (before === null || before === era) {
      return;
    }
    this.#rollbackFilter.start();
    // The copy may list a process as open that had announced since that it drains.
    this.#upstreams.getAll()
      .filter(({ entry }) => entry.isDraining && entry.startedAtMs !== null)
      .forEach(({ entry }) => this.#closures.recordLeaving(entry));
    this.#largestHostCount = this.largestHostCount;
    this.#recordedHostCount = { count: 0, revision: 0 };
    this.apply({ kind: 'storeEraChanged', era, before });
  }

  #isRestart({ id, startedAtMs }: UpstreamEntry): boolean {
    const known = this.#upstreams.get(id)?.entry.startedAtMs ?? null;
    return known !== null && startedAtMs !== null && startedAtMs !== known;
  }

  #isOpen(upstream: KnownUpstream): boolean {
    return this.#upstreams.isListed(upstream)
      && !this.#closures.isLeaving(upstream.entry)
      && !this.isBackingOff(upstream.entry.id);
  }

  #update(change: DirectoryChange): boolean {
    switch (change.kind) {
      case 'configuration':
        return this.#updateConfiguration(change.configuration);
      case 'upstream':
        if (isDeepStrictEqual(this.#upstreams.get(change.entry.id)?.entry, change.entry)) {
          return false;
        }
        this.#upstreams.set({
          entry: change.entry,
          coldUntilMs: this.#clock.getMonotonicMs() + change.entry.coldRemainingMs,
        });
        return true;
      case 'upstreamGone':
        return this.#removeUpstream(change.upstreamId);
      case 'domainDrained':
        this.#upstreams.drain(change.failureDomain);
        return true;
      case 'domainRestored':
        this.#rollbackFilter.recordDomainRestored(change.failureDomain);
        return this.#upstreams.restore(change.failureDomain);
      case 'host':
        if (isDeepStrictEqual(this.#hosts.get(change.entry.id), change.entry)) {
          return false;
        }
        this.#hosts.set(change.entry.id, change.entry);
        this.#largestHostCount = Math.max(this.#largestHostCount, this.#hosts.size);
        return true;
      case 'hostGone':
        return this.#hosts.delete(change.hostId);
      case 'hostCount':
        if (
          this.#recordedHostCount.count === change.count
          && this.#recordedHostCount.revision === change.revision
        ) {
          return false;
        }
        this.#recordedHostCount = { count: change.count, revision: change.revision };
        return true;
      case 'upstreamLeaving':
        return this.#closures.recordLeaving(change.lifetime);
      case 'upstreamBackOff':
        return this.#closures.recordBackOff(change.upstreamId, change.durationMs);
      case 'upstreamLimit':
        return this.#advertisedLimits.record(change.advertisedLimit);
      case 'storeEraChanged':
        return true;
      case 'rolloutOrdered':
        this.#orderedPools.add(change.order.poolId);
        return true;
      case 'rolloutWithdrawn':
        return this.#orderedPools.delete(change.poolId);
      case 'rolloutStatus':
        // The rollouts are kept in RolloutTable.
        return true;
      case 'poolVersionRecorded':
      case 'streamsBegun':
        // The streams' versions are kept in StreamVersionTable.
        return true;
      case 'crashRecorded':
      case 'suspectCleared':
      case 'suspectTried':
      case 'trialsForgotten':
        // The quarantine keeps the state of these changes.
        return true;
      default:
        throw exhaustiveSwitchError(change);
    }
  }

  #removeUpstream(upstreamId: UpstreamId): boolean {
    const entry = this.#upstreams.get(upstreamId)?.entry;
    if (entry === undefined) {
      return false;
    }
    this.#rollbackFilter.recordUpstreamRemoved(entry);
    return this.#upstreams.delete(upstreamId);
  }

  #updateConfiguration(configuration: ServingConfiguration): boolean {
    if (this.#configuration !== null && configuration.version <= this.#configuration.version) {
      return false;
    }
    const knownVersions = [...this.#hosts.values()]
      .map(({ configurationVersion }) => configurationVersion ?? 0);
    if (configuration.version < Math.max(0, ...knownVersions)) {
      return false;
    }
    this.#configuration = configuration;
    return true;
  }
}
