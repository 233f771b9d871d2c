import type { CoreContext } from '../core/CoreContext.ts';
import type { KeyValueAnsweredInput } from '../core/CoreInput.ts';
import type { HostId } from '../lib/ids.ts';
import type { MemberRecord, PeerMessage } from '../peers/PeerMessage.ts';
import type { KeyValueAnswer } from '../platform/KeyValueCall.ts';
import { HeadReader, type HeadReaderOptions } from './HeadReader.ts';
import { isConfiguration, parseConfiguration } from './parseConfiguration.ts';
import {
  createEmptyConfiguration, type ConfigurationRecord,
} from './records/ConfigurationRecord.ts';

/** Options of a {@link ConfigurationFollower}. */
export interface ConfigurationFollowerOptions extends HeadReaderOptions {
  /** Time after which a peer that has not sent its configuration is given up for another one. */
  readonly queryTimeoutMs: number;
  /** Number of peers to which a new version is announced at once. */
  readonly announcementCount: number;
  /** Returns the other members known to this host. */
  readonly getPeers: () => readonly MemberRecord[];
}

/** Defaults of the options that are specific to the follower. */
export const DEFAULT_CONFIGURATION_FOLLOWER_OPTIONS = {
  queryTimeoutMs: 500,
  announcementCount: 4,
  getPeers: (): readonly MemberRecord[] => [],
};

/** Maximum number of peers recorded as having a higher version. */
const MAX_SOURCES = 8;

/** A peer that has a higher version. */
interface ConfigurationSource {
  readonly hostId: HostId;
  readonly address: string;
  readonly version: number;
}

interface PendingQuery {
  readonly source: ConfigurationSource;
  readonly timesOutAtMs: number;
}

/** Receives each adopted configuration. */
export type ConfigurationListener = (configuration: ConfigurationRecord) => void;

/**
 * Holds the configuration that is in force at this host. It adopts only a higher version, from any
 * source, so that no stale read, stale peer or restart reverts the configuration.
 *
 * A host announces a new version to a few peers at once and to all in the digest on heartbeats; it
 * sends the configuration itself only to a peer that queried it. A `configurationAsk` carries the
 * version of its sender: the receiver answers with its own configuration when that is newer, and
 * queries the sender when it is older.
 */
export class ConfigurationFollower {
  readonly #context: CoreContext;

  readonly #options: typeof DEFAULT_CONFIGURATION_FOLLOWER_OPTIONS;

  readonly #reader: HeadReader;

  readonly #listeners: ConfigurationListener[] = [];

  readonly #sources = new Map<HostId, ConfigurationSource>();

  #configuration = createEmptyConfiguration();

  /** Whether the platform reported that no configuration has been confirmed. */
  #isStoreEmpty = false;

  #headError = '';

  #pendingQuery: PendingQuery | null = null;

  /**
   * @param context - time, randomness and the core's outputs
   * @param options - defaults: {@link DEFAULT_CONFIGURATION_FOLLOWER_OPTIONS} and those of
   *   {@link HeadReader}
   */
  constructor(context: CoreContext, options: Partial<ConfigurationFollowerOptions> = {}) {
    this.#context = context;
    this.#options = { ...DEFAULT_CONFIGURATION_FOLLOWER_OPTIONS, ...options };
    this.#reader = new HeadReader(context, options);
  }

  /**
   * @returns the configuration in force; empty while the host is not ready
   */
  getConfiguration(): ConfigurationRecord {
    return this.#configuration;
  }

  /**
   * @returns why the host can't serve requests yet; empty when it can
   */
  getNotReadyReason(): string {
    if (this.#configuration.version > 0) {
      return '';
    }
    if (this.#sources.size > 0 || this.#pendingQuery !== null) {
      return 'waiting for the configuration from a peer';
    }
    if (this.#headError !== '') {
      return this.#headError;
    }
    return this.#isStoreEmpty ? '' : 'neither the platform nor a peer has provided a configuration';
  }

  /**
   * @returns whether a configuration is in force, or none has ever been confirmed
   */
  isReady(): boolean {
    return this.getNotReadyReason() === '';
  }

  /**
   * @returns whether the platform answered the latest read of the head
   */
  isPlatformReachable(): boolean {
    return this.#reader.isReachable();
  }

  /**
   * Sets whether the head is read by watches or by rare polls.
   *
   * @param isWatcher - whether this host is one of the few watchers in its failure domain
   */
  setIsWatcher(isWatcher: boolean): void {
    this.#reader.setIsWatcher(isWatcher);
  }

  /**
   * Adds a listener.
   *
   * @param listener - called with each configuration that is adopted from now on
   */
  onChange(listener: ConfigurationListener): void {
    this.#listeners.push(listener);
  }

  /**
   * Adopts a configuration when its version is higher than the one in force.
   *
   * @param configuration - a confirmed configuration from any source
   * @returns whether it was adopted
   */
  adoptIfNewer(configuration: ConfigurationRecord): boolean {
    if (configuration.version <= this.#configuration.version) {
      return false;
    }
    this.#configuration = configuration;
    this.#headError = '';
    this.#removeOutdatedSources();
    this.#listeners.forEach((listener) => listener(configuration));
    this.#announceVersion();
    return true;
  }

  /**
   * Records the version that a peer reported; queries the configuration when it is higher.
   *
   * @param hostId - id of the peer
   * @param address - address of the peer, `IP:port`
   * @param version - version in the peer's digest
   */
  recordPeerVersion(hostId: HostId, address: string, version: number): void {
    if (version <= this.#configuration.version) {
      return;
    }
    if (this.#sources.size < MAX_SOURCES || this.#sources.has(hostId)) {
      this.#sources.set(hostId, { hostId, address, version });
    }
    if (this.#pendingQuery === null) {
      this.#queryNextSource();
    }
  }

  /**
   * Handles `configuration` and `configurationAsk` messages; ignores all others.
   *
   * @param fromHostId - id of the sender
   * @param message - any message from a peer
   */
  handlePeerMessage(fromHostId: HostId, message: PeerMessage): void {
    if (message.kind === 'configuration') {
      this.#handleConfiguration(fromHostId, message.configuration);
    } else if (message.kind === 'configurationAsk') {
      this.#handleQuery(fromHostId, message.knownVersion);
    }
  }

  /**
   * Handles the answer to this follower's read of the head; ignores other answers.
   *
   * @param input - any answer of the key-value service
   */
  handleKeyValueAnswer(input: KeyValueAnsweredInput): void {
    const answer = this.#reader.handleKeyValueAnswer(input);
    if (answer !== null) {
      this.handleHeadAnswer(answer);
    }
  }

  /**
   * Handles the answer to any read of the head, including reads by the writer.
   *
   * @param answer - answer of the key-value service
   * @returns false when the read failed or this version of the program can't parse the head
   */
  handleHeadAnswer(answer: KeyValueAnswer): boolean {
    if (answer.kind === 'missing') {
      this.#isStoreEmpty = true;
      return true;
    }
    if (answer.kind !== 'value') {
      return false;
    }
    const configuration = parseConfiguration(answer.value);
    if (configuration === null) {
      this.#headError = 'the configuration stored in the platform can\'t be parsed';
      return false;
    }
    this.adoptIfNewer(configuration);
    return true;
  }

  /** Sends due reads, and queries another peer when one has not answered in time. */
  tick(): void {
    this.#reader.tick();
    if (this.#pendingQuery !== null
      && this.#context.getNowMs() >= this.#pendingQuery.timesOutAtMs) {
      this.#removeSource(this.#pendingQuery.source.hostId);
    }
  }

  /**
   * @returns the time at which the next tick is due
   */
  getNextWakeMs(): number {
    return Math.min(this.#reader.getNextWakeMs(), this.#pendingQuery?.timesOutAtMs ?? Infinity);
  }

  #handleConfiguration(fromHostId: HostId, configuration: unknown): void {
    if (isConfiguration(configuration)) {
      this.adoptIfNewer(configuration);
    }
    // An answer that was not adopted must not delay the queries to other sources.
    if (this.#pendingQuery?.source.hostId === fromHostId) {
      this.#removeSource(fromHostId);
    }
  }

  #handleQuery(fromHostId: HostId, knownVersion: number): void {
    const address = this.#getAddress(fromHostId);
    if (address === null) {
      return;
    }
    if (knownVersion > this.#configuration.version) {
      this.recordPeerVersion(fromHostId, address, knownVersion);
    } else if (knownVersion < this.#configuration.version) {
      const message = { kind: 'configuration' as const, configuration: this.#configuration };
      this.#context.emit({
        kind: 'sendPeerMessage', toHostId: fromHostId, address, message,
      });
    }
  }

  #getAddress(hostId: HostId): string | null {
    const peer = this.#options.getPeers().find((member) => member.hostId === hostId);
    return peer?.peerAddress ?? this.#sources.get(hostId)?.address ?? null;
  }

  #sendQuery(toHostId: HostId, address: string): void {
    const { version } = this.#configuration;
    this.#context.emit({
      kind: 'sendPeerMessage',
      toHostId,
      address,
      message: { kind: 'configurationAsk', knownVersion: version },
    });
  }

  #queryNextSource(): void {
    const highest = [...this.#sources.values()]
      .reduce<ConfigurationSource | null>((best, source) => (
        best === null || source.version > best.version ? source : best), null);
    if (highest === null) {
      this.#pendingQuery = null;
      return;
    }
    const timesOutAtMs = this.#context.getNowMs() + this.#options.queryTimeoutMs;
    this.#pendingQuery = { source: highest, timesOutAtMs };
    this.#sendQuery(highest.hostId, highest.address);
  }

  #removeSource(hostId: HostId): void {
    this.#sources.delete(hostId);
    this.#queryNextSource();
  }

  #removeOutdatedSources(): void {
    const { version } = this.#configuration;
    [...this.#sources.values()]
      .filter((source) => source.version <= version)
      .forEach(({ hostId }) => this.#sources.delete(hostId));
    if (this.#pendingQuery !== null && this.#pendingQuery.source.version <= version) {
      this.#queryNextSource();
    }
  }

  #announceVersion(): void {
    const { version } = this.#configuration;
    const peers = this.#options.getPeers()
      .filter(({ state }) => state === 'alive' || state === 'suspect')
      .filter((peer) => peer.configurationVersion < version);
    for (let count = 0; count < this.#options.announcementCount && peers.length > 0; count += 1) {
      const index = Math.floor(this.#context.random.getFraction() * peers.length);
      const [peer] = peers.splice(index, 1);
      if (peer !== undefined) {
        this.#sendQuery(peer.hostId, peer.peerAddress);
      }
    }
  }
}
