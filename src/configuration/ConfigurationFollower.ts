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

/** How a host follows the configuration. */
export interface ConfigurationFollowerOptions extends HeadReaderOptions {
  /** How long a peer may take to send a configuration before another one is asked. */
  readonly queryTimeoutMs: number;
  /** Peers that are told of a new version at once. */
  readonly announcementCount: number;
  /** The other members as this host knows them. */
  readonly getPeers: () => readonly MemberRecord[];
}

/** The defaults of the follower's own options. */
export const DEFAULT_CONFIGURATION_FOLLOWER_OPTIONS = {
  queryTimeoutMs: 500,
  announcementCount: 4,
  getPeers: (): readonly MemberRecord[] => [],
};

/** Peers that are remembered as having a higher version. */
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

/** Called with each adopted configuration. */
export type ConfigurationListener = (configuration: ConfigurationRecord) => void;

/**
 * Owns the configuration that is in force at this host. It adopts only a higher version, whoever
 * offers it, so that no stale read, stale peer or restart turns anything back.
 *
 * Versions spread by a notice to a few peers on each change and by the digest on heartbeats; the
 * configuration itself goes only to a peer that asked for it. A `configurationAsk` says which
 * version its sender has: the receiver answers with its own when that is higher, and asks in turn
 * when it is lower.
 */
export class ConfigurationFollower {
  readonly #context: CoreContext;

  readonly #options: typeof DEFAULT_CONFIGURATION_FOLLOWER_OPTIONS;

  readonly #reader: HeadReader;

  readonly #listeners: ConfigurationListener[] = [];

  readonly #sources = new Map<HostId, ConfigurationSource>();

  #configuration = createEmptyConfiguration();

  /** Whether the platform said that nothing was confirmed yet. */
  #isStoreEmpty = false;

  #headError = '';

  #pendingQuery: PendingQuery | null = null;

  /**
   * @param context - time, randomness and the way out
   * @param options - see {@link DEFAULT_CONFIGURATION_FOLLOWER_OPTIONS} and the head reader's
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
   * @returns why the host can't serve yet; empty when it can
   */
  getNotReadyReason(): string {
    if (this.#configuration.version > 0) {
      return '';
    }
    if (this.#sources.size > 0 || this.#pendingQuery !== null) {
      return 'waits for the configuration from a peer';
    }
    if (this.#headError !== '') {
      return this.#headError;
    }
    return this.#isStoreEmpty ? '' : 'neither the platform nor a peer gave a configuration';
  }

  /**
   * @returns whether a configuration is in force, or none was ever confirmed
   */
  isReady(): boolean {
    return this.getNotReadyReason() === '';
  }

  /**
   * @returns whether the platform answered the last read of the head
   */
  isPlatformReachable(): boolean {
    return this.#reader.isReachable();
  }

  /**
   * @param isWatcher - whether this host is one of the few in its failure domain that watch
   */
  setIsWatcher(isWatcher: boolean): void {
    this.#reader.setIsWatcher(isWatcher);
  }

  /**
   * @param listener - called with each configuration that is adopted from now on
   */
  onChange(listener: ConfigurationListener): void {
    this.#listeners.push(listener);
  }

  /**
   * Adopts a configuration when its version is higher than the one in force.
   *
   * @param configuration - an accepted configuration from any source
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
   * Notes the version that a peer said it has; asks for the configuration when that is higher.
   *
   * @param hostId - the peer
   * @param address - its `IP:port`
   * @param version - the version in its digest
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
   * Takes `configuration` and `configurationAsk`; other messages are passed over.
   *
   * @param fromHostId - the sender
   * @param message - any message of a peer
   */
  handlePeerMessage(fromHostId: HostId, message: PeerMessage): void {
    if (message.kind === 'configuration') {
      this.#handleConfiguration(fromHostId, message.configuration);
    } else if (message.kind === 'configurationAsk') {
      this.#handleQuery(fromHostId, message.knownVersion);
    }
  }

  /**
   * Takes the answer to an own read of the head; others are passed over.
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
   * Takes what a read of the head showed, whoever read it.
   *
   * @param answer - of the key-value service
   * @returns false when there is no head in the answer, or none that this program can read
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
      this.#headError = 'the configuration that the platform holds can\'t be read';
      return false;
    }
    this.adoptIfNewer(configuration);
    return true;
  }

  /** Sends due reads and asks another peer when one did not answer. */
  tick(): void {
    this.#reader.tick();
    if (this.#pendingQuery !== null && this.#context.getNowMs() >= this.#pendingQuery.timesOutAtMs) {
      this.#removeSource(this.#pendingQuery.source.hostId);
    }
  }

  /**
   * @returns when the next tick is needed
   */
  getNextWakeMs(): number {
    return Math.min(this.#reader.getNextWakeMs(), this.#pendingQuery?.timesOutAtMs ?? Infinity);
  }

  #handleConfiguration(fromHostId: HostId, configuration: unknown): void {
    if (isConfiguration(configuration)) {
      this.adoptIfNewer(configuration);
    }
    // An answer that does not help must not hold up the other sources.
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
    const lostAtMs = this.#context.getNowMs() + this.#options.queryTimeoutMs;
    this.#pendingQuery = { source: highest, timesOutAtMs: lostAtMs };
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
    const behind = this.#options.getPeers()
      .filter(({ state }) => state === 'alive' || state === 'suspect')
      .filter((peer) => peer.configurationVersion < version);
    for (let count = 0; count < this.#options.announcementCount && behind.length > 0; count += 1) {
      const index = Math.floor(this.#context.random.getFraction() * behind.length);
      const [peer] = behind.splice(index, 1);
      if (peer !== undefined) {
        this.#sendQuery(peer.hostId, peer.peerAddress);
      }
    }
  }
}
