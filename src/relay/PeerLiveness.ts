import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { HostId } from '../lib/ids.ts';
import { PLACEMENT_PATHS } from '../placement/PLACEMENT_PATHS.ts';
import type { UpstreamConnections } from '../upstreams/UpstreamConnections.ts';
import type { ForwardingPeer } from './ForwardingPeers.ts';

/** Options of a {@link PeerLiveness}. */
export interface PeerLivenessOptions {
  /** Knows which hosts are registered. */
  readonly directory: Directory;
  /** Connections to peers. */
  readonly connections: UpstreamConnections;
  readonly logger: Logger;
}

interface WatchedPeer {
  readonly peer: Pick<ForwardingPeer, 'hostId' | 'peerAddress'>;
  readonly waiting: Set<() => void>;
  /** Probes in a row without an answer. */
  silentCount: number;
  timer: NodeJS.Timeout | null;
}

/** Time from the begin of a request, or the last probe, to the next one. */
const PROBE_EVERY_MS = 250;
const PROBE_TIMEOUT_MS = 900;
/** Probes in a row after which requests at a silent host are given up; it may stand still once. */
const GIVE_UP_COUNT = 2;

/**
 * Finds out which of the hosts that serve requests for this one are silent: frozen, without power
 * or cut off. Load pattern: a failure domain loses power while other hosts reach no upstream, and
 * each request passed on to it would wait for its deadline, until its leases have run out.
 */
export class PeerLiveness {
  readonly #options: PeerLivenessOptions;

  readonly #watched = new Map<HostId, WatchedPeer>();

  /**
   * @param options - see {@link PeerLivenessOptions}
   */
  constructor(options: PeerLivenessOptions) {
    this.#options = options;
  }

  /**
   * @param hostId - a host
   * @returns whether it did not answer the last probe; a silent host is probed until it answers
   */
  isSilent(hostId: HostId): boolean {
    return (this.#watched.get(hostId)?.silentCount ?? 0) > 0;
  }

  /**
   * Probes a host while it serves a request.
   *
   * @param peer - the host
   * @param onSilent - called when it has been silent for too long
   * @returns a function that ends this for the request
   */
  watch(peer: ForwardingPeer, onSilent: () => void): () => void {
    const watched = this.#watched.get(peer.hostId) ?? {
      peer, waiting: new Set(), silentCount: 0, timer: null,
    };
    this.#watched.set(peer.hostId, watched);
    watched.waiting.add(onSilent);
    this.#schedule(watched);
    return () => watched.waiting.delete(onSilent);
  }

  /** Ends all probes. */
  close(): void {
    this.#watched.forEach(({ timer }) => clearTimeout(timer ?? undefined));
    this.#watched.clear();
  }

  #schedule(watched: WatchedPeer): void {
    const state = watched;
    state.timer ??= setTimeout(() => {
      this.#probe(state).catch((error: unknown) => this.#options.logger.error(
        { event: 'probeFailed', error: String(error) },
        'probing a host failed unexpectedly',
      ));
    }, PROBE_EVERY_MS);
  }

  async #probe(watched: WatchedPeer): Promise<void> {
    const state = watched;
    const { peer, waiting } = state;
    if (waiting.size > 0 || state.silentCount > 0) {
      this.#record(state, await this.#isAnswered(peer.peerAddress));
    }
    state.timer = null;
    const isNeeded = waiting.size > 0
      || (state.silentCount > 0 && this.#options.directory.hosts.has(peer.hostId));
    if (!isNeeded) {
      this.#watched.delete(peer.hostId);
    } else if (this.#watched.get(peer.hostId) === state) {
      this.#schedule(state);
    }
  }

  #record(watched: WatchedPeer, isAnswered: boolean): void {
    const state = watched;
    const wasSilent = state.silentCount > 0;
    state.silentCount = isAnswered ? 0 : state.silentCount + 1;
    if (wasSilent === isAnswered) {
      this.#options.logger.info(
        { event: isAnswered ? 'peerRegained' : 'peerSilent', hostId: state.peer.hostId },
        isAnswered
          ? 'a host answers again; requests are passed on to it'
          : 'a host does not answer; requests are passed on to it only when no other is left',
      );
    }
    if (state.silentCount >= GIVE_UP_COUNT) {
      [...state.waiting].forEach((onSilent) => onSilent());
    }
  }

  async #isAnswered(peerAddress: string): Promise<boolean> {
    try {
      const response = await this.#options.connections.get(`http://${peerAddress}`).request({
        method: 'GET',
        path: PLACEMENT_PATHS.alive,
        signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
      });
      await response.body.dump();
      return true;
    } catch {
      // Whatever the error, no answer came.
      return false;
    }
  }
}
