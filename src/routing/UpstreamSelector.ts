import type { IndexedList } from '../lib/IndexedList.ts';
import type { UpstreamId } from '../lib/ids.ts';
import type { RandomSource } from '../lib/RandomSource.ts';
import { getTextHash, mixHashes } from './getTextHash.ts';

/** What the choice looks at. */
export interface SelectableUpstream {
  readonly upstreamId: UpstreamId;
  /** `getTextHash` of the id. */
  readonly idHash: number;
  /** Attempts that run there over what it may run. */
  readonly utilization: number;
  /** Expected time to an answer; grows with the attempts that run there. */
  readonly expectedMs: number;
}

/** Upstreams of one pool with room, by place. */
export interface SelectableUpstreams {
  /** Those in the failure domain of this host. */
  readonly near: IndexedList<SelectableUpstream>;
  readonly far: IndexedList<SelectableUpstream>;
}

/** What an attempt wants. */
export interface SelectionCriteria {
  /** Attempts with the same key go to the same upstream while it is not overloaded. */
  readonly affinityKey: string | null;
  /** Upstreams that just failed this request. */
  readonly excludedUpstreamIds: readonly UpstreamId[];
}

/** How upstreams are chosen. */
export interface UpstreamSelectorOptions {
  /** Utilization up to which the own failure domain is preferred without a comparison. */
  readonly nearUtilization: number;
  /** Affinity holds up to this multiple of the mean utilization of the candidates. */
  readonly affinityBound: number;
  /** Utilization up to which affinity holds in any case. */
  readonly affinityUtilization: number;
}

/** Defaults of the choice. */
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
 * Chooses among the upstreams of a pool that have room: the faster of two random ones (Mitzenmacher
 * 2001), in the own failure domain while it can carry the load. With an affinity key, rendezvous
 * hashing names the upstream, unless it is loaded above its bound (Mirrokni et al. 2018).
 */
export class UpstreamSelector {
  readonly #random: RandomSource;

  readonly #options: UpstreamSelectorOptions;

  /**
   * @param random - the source of the random pairs
   * @param options - how to choose; what is left out takes its default
   */
  constructor(random: RandomSource, options: Partial<UpstreamSelectorOptions> = {}) {
    this.#random = random;
    this.#options = { ...DEFAULT_UPSTREAM_SELECTOR_OPTIONS, ...options };
  }

  /**
   * @param upstreams - those with room
   * @param criteria - what the attempt wants
   * @returns the choice; null when none is left
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
    wish: SelectionCriteria,
  ): SelectableUpstream | null {
    if (candidates.size === 0) {
      return null;
    }
    const byAffinity = wish.affinityKey === null ? null : this.#selectByAffinity(candidates, wish);
    return byAffinity ?? this.#selectFasterOfTwo(candidates, wish);
  }

  #selectByAffinity(
    candidates: IndexedList<SelectableUpstream>,
    wish: SelectionCriteria,
  ): SelectableUpstream | null {
    const { affinityBound, affinityUtilization } = this.#options;
    const keyHash = getTextHash(wish.affinityKey ?? '');
    const total = candidates.items.reduce((sum, each) => sum + each.utilization, 0);
    const bound = Math.max(affinityUtilization, (total / candidates.size) * affinityBound);
    let best: SelectableUpstream | null = null;
    let bestScore = -1;
    candidates.items.forEach((candidate) => {
      const score = mixHashes(keyHash, candidate.idHash);
      const isAllowed = candidate.utilization <= bound
        && !wish.excludedUpstreamIds.includes(candidate.upstreamId);
      if (isAllowed && score > bestScore) {
        best = candidate;
        bestScore = score;
      }
    });
    return best;
  }

  #selectFasterOfTwo(
    candidates: IndexedList<SelectableUpstream>,
    wish: SelectionCriteria,
  ): SelectableUpstream | null {
    const first = this.#draw(candidates, wish);
    const second = this.#draw(candidates, wish);
    return getFaster(first, second);
  }

  #draw(
    candidates: IndexedList<SelectableUpstream>,
    wish: SelectionCriteria,
  ): SelectableUpstream | null {
    const { items } = candidates;
    for (let index = 0; index < MAX_DRAWS; index += 1) {
      const drawn = items[Math.floor(this.#random.getFraction() * items.length)];
      if (drawn !== undefined && !wish.excludedUpstreamIds.includes(drawn.upstreamId)) {
        return drawn;
      }
    }
    return items.find((each) => !wish.excludedUpstreamIds.includes(each.upstreamId)) ?? null;
  }
}
