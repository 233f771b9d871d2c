import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { DirectoryChange } from '../directory/DirectoryChange.ts';
import type { KnownHost } from '../directory/HostEntry.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { HostId } from '../lib/ids.ts';
import { chooseCoordinator } from '../placement/chooseCoordinator.ts';
import { findPlacementGroups } from '../placement/PlacementGroup.ts';
import type { Clock } from '../time/Clock.ts';

/** What the choice of keepers is made from. */
export interface LimitCoordinatorsOptions {
  readonly clock: Clock;
  readonly hostId: HostId;
  readonly directory: Directory;
  /** Whether the store has confirmed a moment ago that this host is registered. */
  readonly isRegistered: () => boolean;
  /** Gets a line when the duty moves. */
  readonly logger: Logger;
}

interface ChosenCoordinator {
  readonly hostId: HostId | null;
  readonly sinceMs: number;
}

/**
 * How long a host keeps a sum before it hands anything out: what the one before has handed out is
 * past by then, and every host that has the store has heard of the change.
 */
export const TAKEOVER_DELAY_MS = 5_000;
/** A view of the hosts that the store has not confirmed for longer says nothing. */
const MAX_VIEW_AGE_MS = 4_000;

/** Changes that may move the duty; those of upstreams are looked at when the duty is asked for. */
const HOST_CHANGES: ReadonlySet<DirectoryChange['kind']> = new Set(['host', 'hostGone']);
const GROUP_CHANGES: ReadonlySet<DirectoryChange['kind']> = new Set([
  'upstream', 'upstreamGone', 'configuration', 'domainDrained', 'domainRestored',
]);

/**
 * Says which host keeps the sum over all hosts of what upstreams of a failure domain get. It is the
 * host that places there, by the store's word alone, so that all with the same view agree.
 */
export class LimitCoordinators {
  readonly #options: LimitCoordinatorsOptions;

  readonly #byDomain = new Map<string, ChosenCoordinator>();

  #isOutdated = true;

  #isUpdateDue = false;

  /**
   * @param parts - see {@link LimitCoordinatorsOptions}
   */
  constructor(parts: LimitCoordinatorsOptions) {
    this.#options = parts;
    parts.directory.onChange((change) => {
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
   * @returns the host that keeps its sum; undefined when none is known
   */
  getCoordinator(entry: UpstreamEntry): KnownHost | undefined {
    const { hostId } = this.#getChosen(entry.failureDomain);
    return hostId === null ? undefined : this.#options.directory.hosts.get(hostId);
  }

  /**
   * @param entry - an upstream
   * @returns whether this host keeps its sum, and has done so for long enough
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

  /** Begins anew; for a process that has stood still while others may have taken over. */
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

  /** Changes that are read together are looked at once. */
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
    // The duty counts from here on, also where no upstream has named a limit yet.
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
      event: 'limitKeeperChosen', failureDomain: domain, hostId, before: before?.hostId ?? null,
    }, 'another host keeps what upstreams that name limits get from all hosts');
    return chosen;
  }
}
