import type { IndexedList } from '../lib/IndexedList.ts';
import type { UpstreamId } from '../lib/ids.ts';
import type { RandomSource } from '../lib/RandomSource.ts';
import { getTextHash, mixHashes } from './getTextHash.ts';

/** Properties of an upstream that the selection uses. */
export interface SelectableUpstream {
  readonly upstreamId: UpstreamId;
  /** `getTextHash` of the id. */
  readonly idHash: number;
  /** Running attempts divided by the concurrency limit. */
  readonly utilization: number;
  /** Expected time to an answer; grows with the number of running attempts. */
  readonly expectedMs: number;
}

/** Upstreams of one pool with capacity, by failure domain. */
export interface SelectableUpstreams {
  /** Upstreams in the failure domain of this host. */
  readonly near: IndexedList<SelectableUpstream>;
  /** Upstreams in other failure domains. */
  readonly far: IndexedList<SelectableUpstream>;
}

/** Criteria of an attempt for its upstream. */
export interface SelectionCriteria {
  /** Attempts with the same key go to the same upstream while it is not overloaded. */
  readonly affinityKey: string | null;
  /** Upstreams that just failed this request. */
  readonly excludedUpstreamIds: readonly UpstreamId[];
}

/** Options of an upstream selector. */
export interface UpstreamSelectorOptions {
  /** Utilization up to which this host's failure domain is used without a comparison. */
  readonly nearUtilization: number;
  /** Affinity applies up to this multiple of the mean utilization of the candidates. */
  readonly affinityBound: number;
  /** Utilization up to which affinity always applies. */
  readonly affinityUtilization: number;
}

/** Default options of an upstream selector. */
export const DEFAULT_UPSTREAM_SELECTOR_OPTIONS: UpstreamSelectorOptions = {
  nearUtilization: 0.7,
  affinityBound: 1.25,
  affinityUtilization: 0.5,
};

const MAX_DRAWS = 4;

function getFaster(
  left: SelectableUpstream | null,
  right: SelectableUpstream | null,
): SelectableUpstream | null {
  if (left === null || right === null) {
    return left ?? right;
  }
  return left.expectedMs <= right.expectedMs ? left : right;
}

/**
 * Selects among the upstreams of a pool with capacity: the faster of two random ones (Mitzenmacher
 * 2001), in this host's failure domain while its utilization is low enough. With an affinity key,
 * rendezvous hashing selects among those not loaded above a bound (Mirrokni et al. 2018).
 */
export class UpstreamSelector {
  readonly #random: RandomSource;

  readonly #options: UpstreamSelectorOptions;

  /**
   * @param random - source of randomness for the pairs
   * @param options - options of the selection; omitted ones take their defaults
   */
  constructor(random: RandomSource, options: Partial<UpstreamSelectorOptions> = {}) {
    this.#random = random;
    this.#options = { ...DEFAULT_UPSTREAM_SELECTOR_OPTIONS, ...options };
  }

  /**
   * Selects an upstream for an attempt.
   *
   * @param upstreams - the upstreams with capacity
   * @param criteria - criteria of the attempt
   * @returns the selected upstream; null if all are excluded
   */
  select(upstreams: SelectableUpstreams, criteria: SelectionCriteria): SelectableUpstream | null {
    const near = this.#selectIn(upstreams.near, criteria);
    if (near !== null && near.utilization <= this.#options.nearUtilization) {
      return near;
    }
    return getFaster(near, this.#selectIn(upstreams.far, criteria));
  }

  #selectIn(
    candidates: IndexedList<SelectableUpstream>,
    criteria: SelectionCriteria,
  ): SelectableUpstream | null {
    if (candidates.size === 0) {
      return null;
    }
    const byAffinity = criteria.affinityKey === null
      ? null
      : this.#selectByAffinity(candidates, criteria);
    return byAffinity ?? this.#selectFasterOfTwo(candidates, criteria);
  }

  #selectByAffinity(
    candidates: IndexedList<SelectableUpstream>,
    criteria: SelectionCriteria,
  ): SelectableUpstream | null {
    const { affinityBound, affinityUtilization } = this.#options;
    const keyHash = getTextHash(criteria.affinityKey ?? '');
    const total = candidates.items.reduce((sum, each) => sum + each.utilization, 0);
    const bound = Math.max(affinityUtilization, (total / candidates.size) * affinityBound);
    let best: SelectableUpstream | null = null;
    let bestScore = -1;
    candidates.items.forEach((candidate) => {
      const score = mixHashes(keyHash, candidate.idHash);
      const isAllowed = candidate.utilization <= bound
        && !criteria.excludedUpstreamIds.includes(candidate.upstreamId);
      if (isAllowed && score > bestScore) {
        best = candidate;
        bestScore = score;
      }
    });
    return best;
  }

  #selectFasterOfTwo(
    candidates: IndexedList<SelectableUpstream>,
    criteria: SelectionCriteria,
  ): SelectableUpstream | null {
    const first = this.#draw(candidates, criteria);
    const second = this.#draw(candidates, criteria);
    return getFaster(first, second);
  }

  #draw(
    candidates: IndexedList<SelectableUpstream>,
    criteria: SelectionCriteria,
  ): SelectableUpstream | null {
    const { items } = candidates;
    for (let index = 0; index < MAX_DRAWS; index += 1) {
      const drawn = items[Math.floor(this.#random.getFraction() * items.length)];
      if (drawn !== undefined && !criteria.excludedUpstreamIds.includes(drawn.upstreamId)) {
        return drawn;
      }
    }
    return items.find((each) => !criteria.excludedUpstreamIds.includes(each.upstreamId)) ?? null;
  }
}
