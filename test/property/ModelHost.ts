import { pino } from 'pino';
import { Directory } from '../../src/directory/Directory.ts';
import { DirectoryFollower } from '../../src/directory/DirectoryFollower.ts';
import type { PeerChanges } from '../../src/directory/DirectoryPeers.ts';
import { DirectoryReaderSelector } from '../../src/directory/DirectoryReaderSelector.ts';
import type { FollowResult } from '../../src/directory/DirectoryStore.ts';
import type { EraBound } from '../../src/directory/EraBound.ts';
import type { KnownHost } from '../../src/directory/HostEntry.ts';
import { SeededRandomSource } from '../../src/lib/SeededRandomSource.ts';
import { toId, type HostId } from '../../src/lib/ids.ts';
import { MemoryDirectoryStore } from '../support/MemoryDirectoryStore.ts';
import type { ModelStore } from './ModelStore.ts';
import type { VirtualTime } from './VirtualTime.ts';

/** Bounds of the model, equal to those of the users' large deployments. */
export const MODEL_BOUNDS = { applyMs: 4_000, contactMs: 5_000 } as const;

const RELAY_WAIT_MS = MODEL_BOUNDS.applyMs / 4;
const STORE_TIMEOUT_MS = 1_000;
const NEXT_CALL_MS = 250;
const STORE_WAIT_MS = MODEL_BOUNDS.contactMs - STORE_TIMEOUT_MS - NEXT_CALL_MS;
const PEER_TIMEOUT_MS = 400;
/** Interval at which a waiting call checks its condition. */
const STEP_MS = 50;
const DOMAINS = ['a', 'b'];
const SILENT_LOGGER = pino({ level: 'silent' });

/** Environment of a host of the model: time, store and the other hosts. */
export interface ModelEnvironment {
  readonly time: VirtualTime;
  readonly store: ModelStore;
  /** Whether hosts follow the directory through readers; otherwise each follows the store. */
  readonly isRelayed: boolean;
  getHost(id: HostId): ModelHost;
  recordError(error: unknown): void;
}

/** Host process of the model, with its faults. */
export class ModelHost {
  readonly entry: KnownHost;

  directory: Directory;

  follower: DirectoryFollower;

  /** Decides whether other hosts are meant to follow this one. */
  readerSelector: DirectoryReaderSelector;

  isDead = false;

  frozenUntilMs = 0;

  storeCutUntilMs = 0;

  peersCutUntilMs = 0;

  /** End of its last fault, or its last start. */
  disturbedAtMs = 0;

  readonly #model: ModelEnvironment;

  /**
   * @param model - its environment
   * @param index - its number, which gives its id and failure domain
   */
  constructor(model: ModelEnvironment, index: number) {
    this.#model = model;
    this.entry = {
      id: toId<HostId>(`host-${index}`),
      failureDomain: DOMAINS[index % DOMAINS.length] ?? '',
      peerAddress: `host-${index}:1`,
      processorCores: 1,
      linkMbps: 1,
      registeredRevision: index,
    };
    this.directory = new Directory(model.time.clock);
    this.readerSelector = this.#createReaders();
    this.follower = this.#createFollower();
  }

  /** Starts a new process of the host. */
  start(): void {
    this.isDead = false;
    this.disturbedAtMs = this.#model.time.nowMs;
    this.directory = new Directory(this.#model.time.clock);
    this.readerSelector = this.#createReaders();
    this.follower = this.#createFollower();
    this.follower.run().catch((error: unknown) => this.#model.recordError(error));
  }

  /** Ends the host's process. */
  stop(): void {
    this.isDead = true;
    this.follower.stop();
  }

  /**
   * Waits for a duration, and until the end of a freeze; a frozen host then continues.
   *
   * @param durationMs - the duration
   */
  async sleep(durationMs: number): Promise<void> {
    await this.#model.time.sleep(durationMs);
    if (this.frozenUntilMs > this.#model.time.nowMs) {
      await this.#model.time.sleep(this.frozenUntilMs - this.#model.time.nowMs);
    }
  }

  #createReaders(): DirectoryReaderSelector {
    return new DirectoryReaderSelector({
      clock: this.#model.time.clock,
      hostId: this.entry.id,
      failureDomain: this.entry.failureDomain,
      directory: this.directory,
      logger: SILENT_LOGGER,
    });
  }

  #createFollower(): DirectoryFollower {
    const { time } = this.#model;
    const store = new MemoryDirectoryStore();
    store.readAll = async () => {
      await this.#callStore(0, () => true);
      return this.#model.store.getSnapshot();
    };
    store.follow = (revision, waitMs = 0) => this.#followStore(revision, waitMs);
    return new DirectoryFollower({
      clock: time.clock,
      store,
      directory: this.directory,
      logger: SILENT_LOGGER,
      random: new SeededRandomSource(1),
      readerSelector: this.readerSelector,
      peers: { follow: (reader, revision, waitMs) => this.#followPeer(reader, revision, waitMs) },
      pause: (durationMs) => this.sleep(durationMs),
    }, {
      waitMs: STORE_WAIT_MS,
      relayWaitMs: this.#model.isRelayed ? RELAY_WAIT_MS : null,
    });
  }

  async #followStore(revision: EraBound, waitMs: number): Promise<FollowResult> {
    const { store } = this.#model;
    await this.#callStore(waitMs, () => store.revision !== revision);
    return store.getSince(revision);
  }

  async #callStore(waitMs: number, isDue: () => boolean): Promise<void> {
    const { time, store } = this.#model;
    store.callCount += 1;
    const untilMs = time.nowMs + waitMs;
    let isLost = false;
    do {
      // eslint-disable-next-line no-await-in-loop -- polls its condition
      await this.sleep(STEP_MS);
      isLost ||= this.storeCutUntilMs > time.nowMs;
    } while (time.nowMs < untilMs && (isLost || !isDue()));
    if (isLost) {
      await this.sleep(STORE_TIMEOUT_MS);
      throw new Error('the store does not respond');
    }
  }

  async #followPeer(reader: KnownHost, revision: EraBound, waitMs: number): Promise<PeerChanges> {
    const { time } = this.#model;
    const target = this.#model.getHost(reader.id);
    const untilMs = time.nowMs + waitMs;
    let isLost = false;
    for (;;) {
      // eslint-disable-next-line no-await-in-loop -- polls its condition
      await this.sleep(STEP_MS);
      if (target.isDead) {
        throw new Error('the connection is closed');
      }
      isLost ||= [this, target].some(({ peersCutUntilMs }) => peersCutUntilMs > time.nowMs)
        || target.frozenUntilMs > time.nowMs;
      if (isLost && time.nowMs >= untilMs + PEER_TIMEOUT_MS) {
        throw new Error('the reader does not respond');
      }
      const { freshness } = target.follower;
      if (!isLost && freshness === null) {
        throw new Error('the reader has lost its connection to the store');
      }
      const result = target.follower.changeLog.getSince(revision);
      const hasChanges = result.kind === 'gap' || result.payloads.length > 0;
      if (!isLost && freshness !== null && (hasChanges || time.nowMs >= untilMs)) {
        return { ...result, ageMs: freshness.ageMs };
      }
    }
  }
}
