import type { Directory } from '../directory/Directory.ts';
import type { HostId } from '../lib/ids.ts';
import type { RandomSource } from '../lib/RandomSource.ts';
import type { Clock } from '../time/Clock.ts';
import type { PeerLiveness } from './PeerLiveness.ts';

/** A host to which requests may be passed on. */
export interface ForwardingPeer {
  readonly hostId: HostId;
  /** IP address and port for requests that are passed on. */
  readonly address: string;
  /** IP address and port for other requests of hosts. */
  readonly peerAddress: string;
  /** Whether it decides only by a configuration that is no older than that of this host. */
  readonly comparesConfigurations: boolean;
}

/** Time for which a host that did not take a request is not chosen. */
const AVOID_MS = 1_000;

/**
 * Chooses the host that serves a request for this one. Load pattern: most hosts of a failure domain
 * lose their path to the upstreams, and the few others must share their load evenly.
 */
export class ForwardingPeers {
  readonly #clock: Clock;

  readonly #hostId: HostId;

  readonly #directory: Directory;

  readonly #random: RandomSource;

  readonly #liveness: Pick<PeerLiveness, 'isSilent'>;

  readonly #openCounts = new Map<HostId, number>();

  readonly #avoidedUntilMs = new Map<HostId, number>();

  /**
   * @param clock - the time
   * @param hostId - this host
   * @param directory - knows the other hosts
   * @param random - decides among hosts with equally many open requests of this host
   * @param liveness - knows which hosts are silent
   */
  constructor(
    clock: Clock,
    hostId: HostId,
    directory: Directory,
    random: RandomSource,
    liveness: Pick<PeerLiveness, 'isSilent'>,
  ) {
    this.#clock = clock;
    this.#hostId = hostId;
    this.#directory = directory;
    this.#random = random;
    this.#liveness = liveness;
  }

  /**
   * @param triedIds - hosts that did not take the request
   * @returns the host with the fewest open requests of this host; one that is silent, or of an
   * earlier build, only when no other is left; null when none is left
   */
  choose(triedIds: ReadonlySet<HostId>): ForwardingPeer | null {
    const nowMs = this.#clock.getMonotonicMs();
    const candidates = [...this.#directory.hosts.values()].flatMap(({
      id, forwardingAddress, peerAddress, comparesConfigurations = false,
    }) => (
      forwardingAddress === undefined
        || id === this.#hostId
        || triedIds.has(id)
        || (this.#avoidedUntilMs.get(id) ?? 0) > nowMs
        ? []
        : [{
          peer: {
            hostId: id, address: forwardingAddress, peerAddress, comparesConfigurations,
          },
          isSilent: this.#liveness.isSilent(id),
          order: this.#random.getFraction(),
        }]));
    const [best] = candidates.sort((left, right) => (
      Number(left.isSilent) - Number(right.isSilent)
      || Number(right.peer.comparesConfigurations) - Number(left.peer.comparesConfigurations)
      || this.#getOpenCount(left.peer.hostId) - this.#getOpenCount(right.peer.hostId)
      || left.order - right.order));
    return best?.peer ?? null;
  }

  /** @param hostId - a host that is sent a request */
  recordStart(hostId: HostId): void {
    this.#openCounts.set(hostId, this.#getOpenCount(hostId) + 1);
  }

  /**
   * @param hostId - a host whose exchange has ended
   * @param hasTaken - whether it took the request
   */
  recordEnd(hostId: HostId, hasTaken: boolean): void {
    const openCount = this.#getOpenCount(hostId) - 1;
    if (openCount > 0) {
      this.#openCounts.set(hostId, openCount);
    } else {
      this.#openCounts.delete(hostId);
    }
    if (!hasTaken) {
      this.#avoidedUntilMs.set(hostId, this.#clock.getMonotonicMs() + AVOID_MS);
    }
  }

  #getOpenCount(hostId: HostId): number {
    return this.#openCounts.get(hostId) ?? 0;
  }
}
