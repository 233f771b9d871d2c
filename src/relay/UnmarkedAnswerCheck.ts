import type { Directory } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { HealthClient } from '../quarantine/UpstreamCheck.ts';
import type { SendRateLimiter } from '../rates/SendRateLimiter.ts';
import type { UpstreamConnections } from '../upstreams/UpstreamConnections.ts';

/** Options of an {@link UnmarkedAnswerCheck}. */
export interface UnmarkedAnswerCheckOptions {
  readonly directory: Directory;
  readonly connections: Pick<UpstreamConnections, 'probe'>;
  readonly healthClient: HealthClient;
  readonly rates: Pick<SendRateLimiter, 'tryTakePermit'>;
}

/** What is known of the process that wrote an answer without a mark at its end. */
export type AnsweringProcess =
  /** It has ended: nothing accepts connections, or another process does. */
  | 'unreachable' | 'replaced'
  /** It runs on. */
  | 'running'
  /** Something accepts connections at its address, and does not tell what. */
  | 'unknown';

/**
 * Finds out whether the process that wrote an answer runs on. The operating system closes the
 * connections of a process that ends in order, as a process does that has ended its answer, and a
 * partition may hand over both only once the next process runs at the address. Plain services have
 * no report; a health check that names the upstream is refused by any other one.
 */
export class UnmarkedAnswerCheck {
  readonly #options: UnmarkedAnswerCheckOptions;

  /**
   * @param options - see {@link UnmarkedAnswerCheckOptions}
   */
  constructor(options: UnmarkedAnswerCheckOptions) {
    this.#options = options;
  }

  /**
   * @param entry - the upstream's entry when the request was sent
   * @returns what is known of its process
   */
  async check(entry: UpstreamEntry): Promise<AnsweringProcess> {
    const { connections, directory, rates } = this.#options;
    if (!await connections.probe(`http://${entry.address}`)) {
      return 'unreachable';
    }
    const known = directory.getUpstream(entry.id)?.entry;
    if (known !== undefined && known.startedAtMs !== entry.startedAtMs) {
      return 'replaced';
    }
    const healthPath = directory.configuration?.pools.get(entry.poolId)?.healthPath;
    return healthPath === undefined || !rates.tryTakePermit(entry)
      ? 'unknown'
      : this.#checkHealth(entry, healthPath);
  }

  /** A full upstream may reset a new connection, which shows nothing of its process. */
  async #checkHealth(entry: UpstreamEntry, healthPath: string): Promise<AnsweringProcess> {
    const { liveness, status } = await this.#options.healthClient.queryHealth(entry, healthPath);
    if (status === null) {
      return 'unknown';
    }
    return liveness === 'ended' ? 'replaced' : 'running';
  }
}
