import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { HostEntry, KnownHost } from '../directory/HostEntry.ts';
import type { HostId } from '../lib/ids.ts';
import type { PlacementGroup } from './PlacementGroup.ts';

/** Processor cores with which a host can place for a group. */
const SUFFICIENT_CORES = 0.6;
/** Bandwidth of the link with which a host can place for a group. */
const SUFFICIENT_LINK_MBPS = 40;

/** What the choice is made from. */
export interface PlacerChooserOptions {
  readonly hostId: HostId;
  readonly directory: Directory;
  /** Gets a line when another host is chosen for a group. */
  readonly logger: Logger;
  /** Whether a host failed a moment ago, or is leaving. */
  readonly isAvoided: (host: HostEntry) => boolean;
}

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
 * Chooses the host that places for a group; all hosts with the same view choose the same one.
 *
 * Load pattern: hosts that are restarted in turn under load. What a placing host knows of calls and
 * room goes with it, so that the duty must not come back to a host that has started again: the one
 * that is there for longest has it.
 */
export class PlacerChooser {
  readonly #options: PlacerChooserOptions;

  /** The host that was chosen last, by the first failure domain of its group. */
  readonly #chosen = new Map<string, HostId>();

  /**
   * @param options - see {@link PlacerChooserOptions}
   */
  constructor(options: PlacerChooserOptions) {
    this.#options = options;
  }

  /**
   * @param group - a group of failure domains
   * @returns the host that places for it; null when that is this one
   */
  choose(group: PlacementGroup): HostEntry | null {
    const { directory, hostId, isAvoided } = this.#options;
    const present = [...directory.hosts.values()].filter((host) => !isAvoided(host));
    const near = present.filter((host) => group.domains.includes(host.failureDomain));
    const groupName = group.domains[0] ?? '';
    const [chosen] = [...(near.length > 0 ? near : present)].sort(compareHosts);
    this.#noteChoice(groupName, chosen?.id ?? hostId);
    return chosen === undefined || chosen.id === hostId ? null : chosen;
  }

  #noteChoice(groupName: string, hostId: HostId): void {
    const before = this.#chosen.get(groupName);
    if (before !== hostId) {
      this.#chosen.set(groupName, hostId);
      this.#options.logger.info(
        {
          event: 'placerChosen', groupName, hostId, before: before ?? null,
        },
        'another host places for a group of failure domains',
      );
    }
  }
}
