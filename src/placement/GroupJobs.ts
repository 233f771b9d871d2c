import type { Directory, KnownUpstream } from '../directory/Directory.ts';
import type { PoolId } from '../lib/ids.ts';
import { getGroupUpstreams } from './getGroupUpstreams.ts';
import type { PlacementJob } from './PlacementJob.ts';

/** The requests that wait for stages of one group of failure domains. */
export class GroupJobs {
  readonly #directory: Directory;

  /** The group's failure domains, as the newest request names them. */
  domains: readonly string[];

  readonly jobs = new Set<PlacementJob>();

  /**
   * @param directory - what is known of upstreams
   * @param domains - the group's failure domains
   */
  constructor(directory: Directory, domains: readonly string[]) {
    this.#directory = directory;
    this.domains = domains;
  }

  /**
   * @param poolId - a pool
   * @returns the upstreams that may work for the group
   */
  getUsable(poolId: PoolId): readonly KnownUpstream[] {
    return getGroupUpstreams(this.#directory, poolId, this.domains);
  }
}
