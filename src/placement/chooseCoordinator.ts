import type { HostEntry, KnownHost } from '../directory/HostEntry.ts';

/** Processor cores that a coordinator needs. */
const SUFFICIENT_CORES = 0.6;
/** Link bandwidth that a coordinator needs. */
const SUFFICIENT_LINK_MBPS = 40;

/** Returns 1 for a host with enough processor and bandwidth, and less for the others. */
function getFitness({ processorCores, linkMbps }: HostEntry): number {
  return Math.min(1, processorCores / SUFFICIENT_CORES, linkMbps / SUFFICIENT_LINK_MBPS);
}

/** Orders by fitness, then by the time since registration, the longest first. */
function compareHosts(left: KnownHost, right: KnownHost): number {
  return getFitness(right) - getFitness(left)
    || left.registeredRevision - right.registeredRevision
    || (left.id < right.id ? -1 : 1);
}

/**
 * Chooses a coordinator, within the failure domains where possible.
 *
 * @param hosts - hosts that may be chosen
 * @param domains - the failure domains of a group
 * @returns the coordinator of the group; undefined when there is no host
 */
export function chooseCoordinator(
  hosts: readonly KnownHost[],
  domains: readonly string[],
): KnownHost | undefined {
  const near = hosts.filter((host) => domains.includes(host.failureDomain));
  const [first, ...others] = near.length > 0 ? near : hosts;
  return first === undefined
    ? undefined
    : others.reduce((best, host) => (compareHosts(host, best) < 0 ? host : best), first);
}
