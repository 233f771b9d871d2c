import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { DirectoryChange } from '../directory/DirectoryChange.ts';
import type { KnownHost } from '../directory/HostEntry.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { HostId } from '../lib/ids.ts';
import { chooseCoordinator } from '../placement/chooseCoordinator.ts';
import { findPlacementGroups, GROUP_CHANGES } from '../placement/PlacementGroup.ts';
import type { Clock } from '../time/Clock.ts';

/** Options of {@link LimitCoordinators}. */
export interface LimitCoordinatorsOptions {
  readonly clock: Clock;
  readonly hostId: HostId;
  readonly directory: Directory;
  /** Whether the store recently confirmed that this host is registered. */
  readonly isRegistered: () => boolean;
  /** Logs each change of a coordinator. */
  readonly logger: Logger;
}

interface ChosenCoordinator {
  readonly hostId: HostId | null;
  readonly sinceMs: number;
}

/**
 * How long a host waits as the new coordinator before it issues permits: by then the permits of the
 * previous coordinator are past, and every host that reaches the store has read of the change.
 */
export const TAKEOVER_DELAY_MS = 5_000;
/** Age of the last store confirmation from which the view of the hosts is no longer trusted. */
const MAX_VIEW_AGE_MS = 4_000;

/** Changes that trigger an update; changes of groups are applied at the next query instead. */
const HOST_CHANGES: ReadonlySet<DirectoryChange['kind']> = new Set(['host', 'hostGone']);

/**
 * Chooses the limit coordinator of each failure domain, which issues shared permits for the
 * upstreams there. It is the domain's placement coordinator, determined by the store's data alone,
 * so that all hosts with the same view agree.
 */
export class LimitCoordinators {
  readonly #options: LimitCoordinatorsOptions;

  readonly #byDomain = new Map<string, ChosenCoordinator>();

  #isOutdated = true;

  #isUpdateDue = false;

  /**
   * @param options - see {@link LimitCoordinatorsOptions}
   */
  constructor(options: LimitCoordinatorsOptions) {
    this.#options = options;
    options.directory.onChange((change) => {
      const { kind } = change;
      const isNewDomain = kind === 'upstream' && !this.#byDomain.has(change.entry.failureDomain);
      if (HOST_CHANGES.has(kind) || isNewDomain) {
        this.#scheduleUpdate();
      } else if (GROUP_CHANGES.has(kind)) {
        this.#isOutdated = true;
      }
    });
  }

  /**
   * @param entry - an upstream
   * @returns its limit coordinator; undefined when none is known
   */
  getCoordinator(entry: UpstreamEntry): KnownHost | undefined {
    const { hostId } = this.#getChosen(entry.failureDomain);
    return hostId === null ? undefined : this.#options.directory.hosts.get(hostId);
  }

  /**
   * @param entry - an upstream
   * @returns whether this host is its coordinator and the takeover delay has passed
   */
  isCoordinatedHere(entry: UpstreamEntry): boolean {
    const {
      clock, directory, hostId, isRegistered,
    } = this.#options;
    const chosen = this.#getChosen(entry.failureDomain);
    return chosen.hostId === hostId
      && clock.getMonotonicMs() - chosen.sinceMs >= TAKEOVER_DELAY_MS
      && (directory.ageMs ?? Infinity) <= MAX_VIEW_AGE_MS
      && isRegistered();
  }

  /** Restarts every takeover delay: while the process was paused, others may have taken over. */
  restartTakeovers(): void {
    this.#byDomain.clear();
    this.#isOutdated = true;
  }

  #getChosen(domain: string): ChosenCoordinator {
    if (this.#isOutdated) {
      this.#update();
    }
    return this.#byDomain.get(domain) ?? this.#choose(domain, [domain]);
  }

  /** Schedules one update for all changes that are read together. */
  #scheduleUpdate(): void {
    this.#isOutdated = true;
    if (!this.#isUpdateDue) {
      this.#isUpdateDue = true;
      queueMicrotask(() => {
        this.#isUpdateDue = false;
        if (this.#isOutdated) {
          this.#update();
        }
      });
    }
  }

  #update(): void {
    this.#isOutdated = false;
    const groups = findPlacementGroups(this.#options.directory);
    groups.forEach(({ domains }) => domains.forEach((domain) => this.#choose(domain, domains)));
    // The takeover delay starts here, also where no upstream has advertised a limit yet.
    [...new Set([...this.#byDomain.keys(), ...this.#options.directory.getFailureDomains()])]
      .filter((domain) => !groups.some(({ domains }) => domains.includes(domain)))
      .forEach((domain) => this.#choose(domain, [domain]));
  }

  #choose(domain: string, domains: readonly string[]): ChosenCoordinator {
    const { clock, directory, logger } = this.#options;
    const hostId = chooseCoordinator([...directory.hosts.values()], domains)?.id ?? null;
    const before = this.#byDomain.get(domain);
    if (before !== undefined && before.hostId === hostId) {
      return before;
    }
    const chosen = { hostId, sinceMs: clock.getMonotonicMs() };
    this.#byDomain.set(domain, chosen);
    logger.info({
      event: 'limitCoordinatorChosen',
      failureDomain: domain,
      hostId,
      before: before?.hostId ?? null,
    }, 'chose another limit coordinator for a failure domain');
    return chosen;
  }
}
