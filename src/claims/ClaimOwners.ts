import type { HostId, IncarnationId } from '../lib/ids.ts';

/** A host that takes part in the claim log. */
export interface ClaimMember {
  readonly hostId: HostId;
  readonly incarnationId: IncarnationId;
  /** `IP:port` of its peer listener. */
  readonly address: string;
}

/** Owners that batch the claims of each shard. Correctness does not depend on them. */
export interface ClaimOwners {
  readonly members: readonly ClaimMember[];
  /** By shard index; where it is null or missing, each host writes its own claims. */
  readonly ownerHostIds: readonly (HostId | null)[];
}
