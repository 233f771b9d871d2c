import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { HostEntry } from '../directory/HostEntry.ts';
import type { HostId } from '../lib/ids.ts';
import { chooseCoordinator } from './chooseCoordinator.ts';
import type { PlacementGroup } from './PlacementGroup.ts';

/** What the choice is made from. */
export interface CoordinatorChooserOptions {
  readonly hostId: HostId;
  readonly directory: Directory;
  /** Gets a line when another host is chosen for a group. */
  readonly logger: Logger;
  /** Whether a host failed a moment ago, or is leaving. */
  readonly isAvoided: (host: HostEntry) => boolean;
}

/**
 * Chooses the host that places for a group; all hosts with the same view choose the same one.
 *
 * Load pattern: hosts that are restarted in turn under load. What a placing host knows of calls and
 * room goes with it, so that the duty must not come back to a host that has started again: the one
 * that is there for longest has it.
 */
export class CoordinatorChooser {
  readonly #options: CoordinatorChooserOptions;

  /** The host that was chosen last, by the first failure domain of its group. */
  readonly #chosen = new Map<string, HostId>();

  /**
   * @param options - see {@link CoordinatorChooserOptions}
   */
  constructor(options: CoordinatorChooserOptions) {
    this.#options = options;
  }

  /**
   * @param group - a group of failure domains
   * @returns the host that places for it; null when that is this one
   */
  choose(group: PlacementGroup): HostEntry | null {
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
          event: 'placerChosen', groupName, hostId, before: before ?? null,
        },
        'another host places for a group of failure domains',
      );
    }
  }
}
