import type { Directory, KnownUpstream } from '../directory/Directory.ts';
import type { PoolId } from '../lib/ids.ts';
import { getGroupUpstreams } from './getGroupUpstreams.ts';
import type { PlacementJob } from './PlacementJob.ts';

/** The requests that wait for their stages in one placement group. */
export class GroupJobs {
  readonly #directory: Directory;

  /** The group's failure domains, as given by the newest request. */
  domains: readonly string[];

  readonly jobs = new Set<PlacementJob>();

  /**
   * @param directory - the known upstreams
   * @param domains - the group's failure domains
   */
  constructor(directory: Directory, domains: readonly string[]) {
    this.#directory = directory;
    this.domains = domains;
  }

  /**
   * @param poolId - a pool
   * @returns the upstreams that may be used for the group
   */
  getUsable(poolId: PoolId): readonly KnownUpstream[] {
    return getGroupUpstreams(this.#directory, { poolId, domains: this.domains });
  }
}
