import type { PoolId, UpstreamId } from '../lib/ids.ts';
import type { KnownUpstream } from './UpstreamEntry.ts';

/** The entries of one pool. */
interface Pool {
  /** In the order in which they became known. */
  readonly upstreams: Map<UpstreamId, KnownUpstream>;
  /** Number of entries of each software version. */
  readonly versionCounts: Map<string | null, number>;
  /** Those that the store lists as open; null when a change has made them outdated. */
  listed: readonly KnownUpstream[] | null;
}

/**
 * The known upstreams with an index by pool. Each request asks several times for the upstreams of
 * its pool. A host that starts gets hundreds of changes, and asks for versions after each of them.
 */
export class UpstreamIndex {
  readonly #upstreams = new Map<UpstreamId, KnownUpstream>();

  readonly #drainedDomains = new Set<string>();

  /** Software versions that get no requests, by the end of a rollout in their pool. */
  readonly #barredVersions = new Map<PoolId, ReadonlySet<string | null>>();

  readonly #pools = new Map<PoolId, Pool>();

  /** The failure domains that are drained. */
  get drainedDomains(): ReadonlySet<string> {
    return this.#drainedDomains;
  }

  /**
   * @param upstreamId - an upstream
   * @returns its entry and state; undefined when it is unknown
   */
  get(upstreamId: UpstreamId): KnownUpstream | undefined {
    return this.#upstreams.get(upstreamId);
  }

  /** @returns the upstreams of all pools, in the order in which they became known */
  getAll(): KnownUpstream[] {
    return [...this.#upstreams.values()];
  }

  /**
   * @param upstream - an upstream
   * @returns whether the store lists it as open, at a version that may get requests
   */
  isListed({ entry }: KnownUpstream): boolean {
    return !entry.isDraining
      && !this.#drainedDomains.has(entry.failureDomain)
      && this.#barredVersions.get(entry.poolId)?.has(entry.softwareVersion) !== true;
  }

  /**
   * @param poolId - a pool
   * @returns its upstreams that the store lists as open, in the order in which they became known
   */
  getListed(poolId: PoolId): readonly KnownUpstream[] {
    const pool = this.#pools.get(poolId);
    if (pool === undefined) {
      return [];
    }
    pool.listed ??= [...pool.upstreams.values()].filter((upstream) => this.isListed(upstream));
    return pool.listed;
  }

  /**
   * @param poolId - a pool
   * @returns the software versions of all its entries, those of leaving upstreams included
   */
  getSoftwareVersions(poolId: PoolId): Set<string | null> {
    return new Set(this.#pools.get(poolId)?.versionCounts.keys());
  }

  /** @param upstream - the new state of an upstream */
  set(upstream: KnownUpstream): void {
    const { id, poolId, softwareVersion } = upstream.entry;
    const known = this.#upstreams.get(id);
    if (known !== undefined) {
      this.#removeFromPool(known, known.entry.poolId !== poolId);
    }
    this.#upstreams.set(id, upstream);
    const pool = this.#pools.get(poolId)
      ?? { upstreams: new Map(), versionCounts: new Map(), listed: null };
    this.#pools.set(poolId, pool);
    pool.upstreams.set(id, upstream);
    pool.versionCounts.set(softwareVersion, (pool.versionCounts.get(softwareVersion) ?? 0) + 1);
    pool.listed = null;
  }

  /**
   * @param upstreamId - an upstream that is gone
   * @returns whether it was known
   */
  delete(upstreamId: UpstreamId): boolean {
    const known = this.#upstreams.get(upstreamId);
    if (known !== undefined) {
      this.#removeFromPool(known, true);
    }
    return this.#upstreams.delete(upstreamId);
  }

  /** @param failureDomain - a domain whose upstreams are no longer listed */
  drain(failureDomain: string): void {
    this.#drainedDomains.add(failureDomain);
    this.#forgetListed();
  }

  /**
   * @param failureDomain - a domain whose upstreams are listed again
   * @returns whether it was drained
   */
  restore(failureDomain: string): boolean {
    this.#forgetListed();
    return this.#drainedDomains.delete(failureDomain);
  }

  /**
   * @param poolId - a pool
   * @param versions - the software versions whose upstreams are no longer listed
   */
  barVersions(poolId: PoolId, versions: ReadonlySet<string | null>): void {
    this.#barredVersions.set(poolId, versions);
    this.#forgetListed();
  }

  #forgetListed(): void {
    [...this.#pools.values()].forEach((pool) => {
      pool.listed = null;
    });
  }

  /** @param isGone - false when the entry is replaced, so that it keeps its place in the order */
  #removeFromPool({ entry }: KnownUpstream, isGone: boolean): void {
    const pool = this.#pools.get(entry.poolId);
    if (pool === undefined) {
      return;
    }
    const count = (pool.versionCounts.get(entry.softwareVersion) ?? 0) - 1;
    if (count > 0) {
      pool.versionCounts.set(entry.softwareVersion, count);
    } else {
      pool.versionCounts.delete(entry.softwareVersion);
    }
    if (isGone) {
      pool.upstreams.delete(entry.id);
    }
    pool.listed = null;
  }
}
