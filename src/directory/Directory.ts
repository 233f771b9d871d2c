import type { HostId, PoolId, UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { DirectoryChange } from './DirectoryChange.ts';
import type { DirectorySnapshot } from './DirectoryStore.ts';
import type { KnownHost } from './HostEntry.ts';
import type { ServingConfiguration } from './ServingConfiguration.ts';
import { UpstreamClosureTable } from './UpstreamClosureTable.ts';
import { AdvertisedLimitTable, type AdvertisedLimit } from './AdvertisedLimitTable.ts';
import type { UpstreamEntry, UpstreamLifetime } from './UpstreamEntry.ts';

/** An upstream as this host knows it. */
export interface KnownUpstream {
  readonly entry: UpstreamEntry;
  /** Monotonic time until which it is cold by its own word. */
  readonly coldUntilMs: number;
}

/** The largest number of hosts that the store keeps a record of. */
export interface RecordedHostCount {
  readonly count: number;
  /** Revision of the record; 0 when there is none. */
  readonly revision: number;
}

function getChangeKey(change: DirectoryChange): string {
  switch (change.kind) {
    case 'configuration':
      return 'configuration';
    case 'upstream':
      return `upstream ${change.entry.id}`;
    case 'upstreamGone':
      return `upstream ${change.upstreamId}`;
    case 'domainDrained':
    case 'domainRestored':
      return `domain ${change.failureDomain}`;
    case 'host':
      return `host ${change.entry.id}`;
    case 'hostGone':
      return `host ${change.hostId}`;
    case 'hostCount':
      return 'hostCount';
    case 'upstreamLeaving':
      return `leaving ${change.lifetime.id}`;
    case 'upstreamBackOff':
      return `backOff ${change.upstreamId}`;
    case 'upstreamLimit':
      return `limit ${change.advertisedLimit.lifetime.id}`;
    case 'crashRecorded':
      return `crash ${change.report.crashId} ${change.hostId}`;
    case 'requestCleared':
      return `cleared ${change.fingerprint}`;
    case 'requestTried':
    case 'trialsForgotten':
      return `trials ${change.fingerprint}`;
    default:
      throw exhaustiveSwitchError(change);
  }
}

/**
 * What this host believes of configuration, upstreams, failure domains and hosts. A configuration
 * is only ever replaced by a higher version.
 */
export class Directory {
  readonly #clock: Clock;

  readonly #upstreams = new Map<UpstreamId, KnownUpstream>();

  readonly #hosts = new Map<HostId, KnownHost>();

  readonly #drainedDomains = new Set<string>();

  readonly #closures: UpstreamClosureTable;

  readonly #advertisedLimits: AdvertisedLimitTable;

  readonly #listeners: ((change: DirectoryChange) => void)[] = [];

  #configuration: ServingConfiguration | null = null;

  #largestHostCount = 1;

  #recordedHostCount: RecordedHostCount = { count: 0, revision: 0 };

  #confirmedAtMs: number | null = null;

  /**
   * @param clock - dates what upstreams say of themselves
   */
  constructor(clock: Clock) {
    this.#clock = clock;
    this.#closures = new UpstreamClosureTable(clock);
    this.#advertisedLimits = new AdvertisedLimitTable(clock);
  }

  /** The version in force; null before the first one is known. */
  get configuration(): ServingConfiguration | null {
    return this.#configuration;
  }

  /** The hosts that hold a lease, this one included once it is registered. */
  get hosts(): ReadonlyMap<HostId, KnownHost> {
    return this.#hosts;
  }

  /**
   * Most hosts that ever held a lease at a time, seen by this process or recorded in the store; the
   * divisor for shares of a common bound.
   */
  get largestHostCount(): number {
    return Math.max(this.#largestHostCount, this.#recordedHostCount.count);
  }

  /** What the store keeps of that, for the processes that start later. */
  get recordedHostCount(): RecordedHostCount {
    return this.#recordedHostCount;
  }

  /** How long ago the store last confirmed what stands here; null before its first answer. */
  get ageMs(): number | null {
    return this.#confirmedAtMs === null
      ? null
      : this.#clock.getMonotonicMs() - this.#confirmedAtMs;
  }

  /**
   * Notes that the store has told everything there was to know.
   *
   * @param agoMs - how long ago
   */
  recordConfirmation(agoMs = 0): void {
    const atMs = this.#clock.getMonotonicMs() - agoMs;
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs ?? -Infinity, atMs);
  }

  /** @param listener - called after each change that took effect */
  onChange(listener: (change: DirectoryChange) => void): void {
    this.#listeners.push(listener);
  }

  /**
   * @param upstreamId - the upstream
   * @returns what is known of it; undefined when it is not in the directory
   */
  getUpstream(upstreamId: UpstreamId): KnownUpstream | undefined {
    return this.#upstreams.get(upstreamId);
  }

  /**
   * @param upstreamId - the upstream
   * @returns whether new work may be sent to it now
   */
  isUsable(upstreamId: UpstreamId): boolean {
    const upstream = this.#upstreams.get(upstreamId);
    return upstream !== undefined && this.#isOpen(upstream);
  }

  /**
   * @param upstreamId - the upstream
   * @returns whether it has asked this host to send nothing at all for a while
   */
  isBackingOff(upstreamId: UpstreamId): boolean {
    return this.#closures.getBackOffMs(upstreamId) > 0;
  }

  /**
   * @param lifetime - a start of an upstream
   * @returns whether it is known to end as planned, or is gone
   */
  isLeaving(lifetime: UpstreamLifetime): boolean {
    const entry = this.#upstreams.get(lifetime.id)?.entry;
    return entry === undefined || entry.isDraining || this.#closures.isLeaving(lifetime);
  }

  /**
   * @param upstreamId - the upstream
   * @returns whether that time has ended a moment ago
   */
  isReopening(upstreamId: UpstreamId): boolean {
    return this.#closures.isReopening(upstreamId);
  }

  /**
   * @param lifetime - a start of an upstream
   * @returns requests a second that it takes from all hosts together; null when it names no limit
   */
  getRequestLimit(lifetime: UpstreamLifetime): number | null {
    return this.#advertisedLimits.getRequestsPerSecond(lifetime);
  }

  /** Whether any upstream has named a limit; most of the time none has. */
  get hasAdvertisedLimits(): boolean {
    return !this.#advertisedLimits.isEmpty;
  }

  /** @returns the failure domains of all hosts and upstreams */
  getFailureDomains(): Set<string> {
    return new Set([
      ...[...this.#upstreams.values()].map(({ entry }) => entry.failureDomain),
      ...[...this.#hosts.values()].map(({ failureDomain }) => failureDomain),
    ]);
  }

  /** @returns the listed upstreams that name a limit, and when that was heard last */
  getLimitedUpstreams(): { readonly entry: UpstreamEntry; readonly receivedAtMs: number }[] {
    return this.#advertisedLimits.activeLimits.flatMap(({ lifetime, receivedAtMs: heardAtMs }) => {
      const upstream = this.#upstreams.get(lifetime.id);
      return upstream === undefined || this.getRequestLimit(upstream.entry) === null
        ? []
        : [{ entry: upstream.entry, heardAtMs }];
    });
  }

  /**
   * @param lifetime - a start of an upstream
   * @returns what it said last of its limit; undefined when it never named one
   */
  getAdvertisedLimit(lifetime: UpstreamLifetime): AdvertisedLimit | undefined {
    return this.#advertisedLimits.get(lifetime);
  }

  /**
   * @param poolId - the pool
   * @returns its upstreams that may get new work from this host
   */
  getUsable(poolId: PoolId): KnownUpstream[] {
    return this.getListed(poolId).filter((upstream) => this.#isOpen(upstream));
  }

  /**
   * @param poolId - the pool
   * @returns its upstreams that the store lists as open; the same for all hosts
   */
  getListed(poolId: PoolId): KnownUpstream[] {
    return [...this.#upstreams.values()]
      .filter((upstream) => upstream.entry.poolId === poolId && this.#isListed(upstream));
  }

  /**
   * @param poolId - the pool
   * @returns its upstreams that this host keeps away from though the store lists them as open
   */
  getClosedIds(poolId: PoolId): UpstreamId[] {
    return this.getListed(poolId)
      .filter((upstream) => !this.#isOpen(upstream))
      .map(({ entry }) => entry.id);
  }

  /**
   * Tells when a pool that has no usable upstream gets one, as far as upstreams themselves say.
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

  /** @param change - what the store says, or an upstream itself */
  apply(change: DirectoryChange): void {
    if (change.kind === 'upstream' && this.#isRestart(change.entry)) {
      // The process of before is gone with all that it kept, though its id goes on.
      this.apply({ kind: 'upstreamGone', upstreamId: change.entry.id });
    }
    if (this.#update(change)) {
      this.#listeners.forEach((listener) => listener(change));
    }
  }

  /**
   * Takes a whole reading of the store; what is missing there is gone.
   *
   * @param snapshot - the reading
   */
  applySnapshot(snapshot: DirectorySnapshot): void {
    const named = new Set(snapshot.changes.map((change) => getChangeKey(change)));
    const gone: DirectoryChange[] = [
      ...[...this.#upstreams.keys()]
        .map((upstreamId) => ({ kind: 'upstreamGone', upstreamId } as const)),
      ...[...this.#drainedDomains]
        .map((failureDomain) => ({ kind: 'domainRestored', failureDomain } as const)),
      ...[...this.#hosts.keys()].map((hostId) => ({ kind: 'hostGone', hostId } as const)),
    ];
    // Drains come first, so that no moment shows a drained domain as open.
    [...snapshot.changes]
      .sort((left, right) => Number(right.kind === 'domainDrained')
        - Number(left.kind === 'domainDrained'))
      .forEach((change) => this.apply(change));
    gone.filter((change) => !named.has(getChangeKey(change)))
      .forEach((change) => this.apply(change));
  }

  #isRestart({ id, startedAtMs }: UpstreamEntry): boolean {
    const known = this.#upstreams.get(id)?.entry.startedAtMs ?? null;
    return known !== null && startedAtMs !== null && startedAtMs !== known;
  }

  #isListed({ entry }: KnownUpstream): boolean {
    return !entry.isDraining && !this.#drainedDomains.has(entry.failureDomain);
  }

  #isOpen(upstream: KnownUpstream): boolean {
    return this.#isListed(upstream)
      && !this.#closures.isLeaving(upstream.entry)
      && !this.isBackingOff(upstream.entry.id);
  }

  #update(change: DirectoryChange): boolean {
    switch (change.kind) {
      case 'configuration':
        return this.#updateConfiguration(change.configuration);
      case 'upstream':
        this.#upstreams.set(change.entry.id, {
          entry: change.entry,
          coldUntilMs: this.#clock.getMonotonicMs() + change.entry.coldRemainingMs,
        });
        return true;
      case 'upstreamGone':
        return this.#upstreams.delete(change.upstreamId);
      case 'domainDrained':
        this.#drainedDomains.add(change.failureDomain);
        return true;
      case 'domainRestored':
        return this.#drainedDomains.delete(change.failureDomain);
      case 'host':
        this.#hosts.set(change.entry.id, change.entry);
        this.#largestHostCount = Math.max(this.#largestHostCount, this.#hosts.size);
        return true;
      case 'hostGone':
        return this.#hosts.delete(change.hostId);
      case 'hostCount':
        this.#recordedHostCount = { count: change.count, revision: change.revision };
        return true;
      case 'upstreamLeaving':
        return this.#closures.recordLeaving(change.lifetime);
      case 'upstreamBackOff':
        return this.#closures.recordBackOff(change.upstreamId, change.durationMs);
      case 'upstreamLimit':
        return this.#advertisedLimits.record(change.advertisedLimit);
      case 'crashRecorded':
      case 'requestCleared':
      case 'requestTried':
      case 'trialsForgotten':
        // The quarantine keeps what these say.
        return true;
      default:
        throw exhaustiveSwitchError(change);
    }
  }

  #updateConfiguration(configuration: ServingConfiguration): boolean {
    if (this.#configuration !== null && configuration.version <= this.#configuration.version) {
      return false;
    }
    this.#configuration = configuration;
    return true;
  }
}
