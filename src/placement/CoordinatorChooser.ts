import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { HostEntry, KnownHost } from '../directory/HostEntry.ts';
import type { HostId } from '../lib/ids.ts';
import { chooseCoordinator } from './chooseCoordinator.ts';
import type { PlacementGroup } from './PlacementGroup.ts';

/** Dependencies of a {@link CoordinatorChooser}. */
export interface CoordinatorChooserOptions {
  readonly hostId: HostId;
  readonly directory: Directory;
  /** Logs each change of a coordinator. */
  readonly logger: Logger;
  /** Tells whether a host has failed recently or is leaving. */
  readonly isAvoided: (host: HostEntry) => boolean;
}

/**
 * Chooses the placement coordinator of a group; hosts with the same directory choose the same one.
 *
 * Load pattern: hosts that are restarted in turn under load. A coordinator's knowledge of calls and
 * free memory is lost with it, so that the role must not return to a restarted host: the host that
 * has been registered for longest has it.
 */
export class CoordinatorChooser {
  readonly #options: CoordinatorChooserOptions;

  /** The last choice, by the first failure domain of the group. */
  readonly #chosen = new Map<string, HostId>();

  /**
   * @param options - see {@link CoordinatorChooserOptions}
   */
  constructor(options: CoordinatorChooserOptions) {
    this.#options = options;
  }

  /**
   * @param group - a placement group
   * @returns its placement coordinator; null when that is this host
   */
  choose(group: PlacementGroup): KnownHost | null {
    const { directory, hostId, isAvoided } = this.#options;
    const present = [...directory.hosts.values()].filter((host) => !isAvoided(host));
    const groupName = group.domains[0] ?? '';
    const chosen = chooseCoordinator(present, group.domains);
    this.#recordChoice(groupName, chosen?.id ?? hostId);
    return chosen === undefined || chosen.id === hostId ? null : chosen;
  }

  #recordChoice(groupName: string, hostId: HostId): void {
    const before = this.#chosen.get(groupName);
    if (before !== hostId) {
      this.#chosen.set(groupName, hostId);
      this.#options.logger.info(
        {
          event: 'placementCoordinatorChosen', groupName, hostId, before: before ?? null,
        },
        'the coordinator of a placement group has changed',
      );
    }
  }
}
