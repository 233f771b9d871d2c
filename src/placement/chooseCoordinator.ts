import type { HostEntry, KnownHost } from '../directory/HostEntry.ts';

/** Processor cores with which a host can place for a group. */
const SUFFICIENT_CORES = 0.6;
/** Bandwidth of the link with which a host can place for a group. */
const SUFFICIENT_LINK_MBPS = 40;

/** 1 for a host that can place for a group; less for one that lacks processor or bandwidth. */
function getFitness({ processorCores, linkMbps }: HostEntry): number {
  return Math.min(1, processorCores / SUFFICIENT_CORES, linkMbps / SUFFICIENT_LINK_MBPS);
}

/** The fittest first, then the one that is there for longest. */
function compareHosts(left: KnownHost, right: KnownHost): number {
  return getFitness(right) - getFitness(left)
    || left.registeredRevision - right.registeredRevision
    || (left.id < right.id ? -1 : 1);
}

/**
 * @param hosts - hosts that may be chosen
 * @param domains - failure domains of a group
 * @returns the host that places for the group; undefined when there is none
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
