import type { CoreContext } from '../../src/core/CoreContext.ts';
import type {
  GrantCoordinatorHost, GrantCoordinatorDirectory, GrantCoordinatorDuty,
} from '../../src/grants/GrantCoordinatorDirectory.ts';
import { toId, type HostId, type UpstreamId } from '../../src/lib/ids.ts';
import { getTextHash } from '../../src/routing/getTextHash.ts';

/** Fixed stewards: for each upstream one host of its failure domain. */
export class LoadDirectory implements GrantCoordinatorDirectory {
  readonly #context: CoreContext;

  readonly #hosts: readonly { readonly hostId: string; readonly failureDomainId: string }[];

  readonly #getDomain: (upstreamId: UpstreamId) => string;

  constructor(
    context: CoreContext,
    hosts: readonly { readonly hostId: string; readonly failureDomainId: string }[],
    getDomain: (upstreamId: UpstreamId) => string,
  ) {
    this.#context = context;
    this.#hosts = hosts;
    this.#getDomain = getDomain;
  }

  getGrantCoordinator(upstreamId: UpstreamId): GrantCoordinatorHost | null {
    const domainId = this.#getDomain(upstreamId);
    const candidates = this.#hosts.filter((host) => host.failureDomainId === domainId);
    const chosen = candidates[getTextHash(upstreamId) % Math.max(1, candidates.length)];
    return chosen === undefined
      ? null
      : { hostId: toId<HostId>(chosen.hostId), address: chosen.hostId };
  }

  getOwnDuty(upstreamId: UpstreamId): GrantCoordinatorDuty | null {
    return this.getGrantCoordinator(upstreamId)?.hostId === this.#context.self.hostId
      ? { epoch: 1, sinceMs: -Infinity, untilMs: Infinity }
      : null;
  }

  getAddress(hostId: HostId): string {
    return hostId;
  }

  getHostCountBound(): number {
    return this.#hosts.length;
  }
}
