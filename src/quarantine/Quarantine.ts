import type { CoreContext } from '../core/CoreContext.ts';
import type { HostId, PoolId, UpstreamId } from '../lib/ids.ts';
import type { PeerMessage } from '../peers/PeerMessage.ts';
import type { QuarantineMessage, SuspectCrash, SuspectRecord } from './QuarantineMessage.ts';
import { DEFAULT_QUARANTINE_OPTIONS, type QuarantineOptions } from './QuarantineOptions.ts';

/** A peer that is told of suspects. */
export interface QuarantinePeer {
  readonly hostId: HostId;
  /** `IP:port`. */
  readonly address: string;
}

/** A quarantined request. */
export interface QuarantineRefusal {
  /** When the request may be tried again. */
  readonly retryAfterMs: number;
}

interface Suspect {
  readonly crashes: ReadonlyMap<string, PoolId>;
  readonly expiresAtMs: number;
}

interface ObservedUpstream {
  readonly incarnation: string;
  /** The last connection that broke under this incarnation; null for none. */
  readonly crashedAtMs: number | null;
}

const UNKNOWN_INCARNATION = 'unknown';
const EMPTY_MESSAGE: QuarantineMessage = {
  kind: 'quarantine', suspects: [], clearedFingerprints: [], retractedDeathIds: [],
};

/**
 * Finds requests that make upstreams die. Every request whose attempt broke when an upstream died
 * is a suspect of that death and next runs alone; a run without harm clears it, a second death
 * quarantines it. A broken connection counts as a death at once, and is taken back when the same
 * incarnation is seen alive later. Suspects are shared with peers.
 */
export class Quarantine {
  readonly #context: CoreContext;

  readonly #options: QuarantineOptions;

  /** In the order of the last death. */
  readonly #suspects = new Map<string, Suspect>();

  readonly #upstreams = new Map<UpstreamId, ObservedUpstream>();

  #peers: readonly QuarantinePeer[] = [];

  /**
   * @param context - time, randomness and the way to peers
   * @param options - see {@link DEFAULT_QUARANTINE_OPTIONS}
   */
  constructor(context: CoreContext, options: Partial<QuarantineOptions> = {}) {
    this.#context = context;
    this.#options = { ...DEFAULT_QUARANTINE_OPTIONS, ...options };
  }

  /** @returns suspects that are remembered, quarantined ones included */
  get suspectCount(): number {
    return this.#suspects.size;
  }

  /**
   * @param peers - the other live hosts
   */
  setPeers(peers: readonly QuarantinePeer[]): void {
    this.#peers = peers;
  }

  /**
   * @param fingerprint - digest of the request
   * @returns when the request may come back, or null when it may be sent
   */
  getRefusal(fingerprint: string): QuarantineRefusal | null {
    const suspect = this.#getSuspect(fingerprint);
    return suspect !== null && suspect.crashes.size >= this.#options.crashLimit
      ? { retryAfterMs: suspect.expiresAtMs - this.#context.getNowMs() } : null;
  }

  /**
   * @param fingerprint - digest of the request
   * @param poolId - the pool that its next stage goes to
   * @returns whether the attempt must have its upstream to itself
   */
  mustRunAlone(fingerprint: string, poolId: PoolId): boolean {
    const suspect = this.#getSuspect(fingerprint);
    return suspect !== null && [...suspect.crashes.values()].includes(poolId);
  }

  /**
   * Notes an attempt whose connection broke after the send.
   *
   * @param fingerprint - digest of the request
   * @param poolId - the upstream's pool
   * @param upstreamId - where it ran
   */
  recordCrash(fingerprint: string, poolId: PoolId, upstreamId: UpstreamId): void {
    const incarnation = this.#upstreams.get(upstreamId)?.incarnation ?? UNKNOWN_INCARNATION;
    const crashedAtMs = this.#context.getNowMs();
    this.#upstreams.set(upstreamId, { incarnation, crashedAtMs });
    const deathId = `${upstreamId}/${incarnation}`;
    const isNew = this.#addCrashes(fingerprint, [{ deathId, poolId }], this.#options.retentionMs);
    if (isNew) {
      this.#announceSuspects([fingerprint]);
    }
  }

  /**
   * Notes an attempt that ended with an answer of its upstream.
   *
   * @param fingerprint - digest of the request
   * @param poolId - the upstream's pool
   * @param isAlone - whether the upstream had nothing else to do for this host
   */
  recordAnswered(fingerprint: string, poolId: PoolId, isAlone: boolean): void {
    const isCleared = isAlone && this.mustRunAlone(fingerprint, poolId)
      && this.getRefusal(fingerprint) === null;
    if (isCleared) {
      this.#suspects.delete(fingerprint);
      this.#announce({ ...EMPTY_MESSAGE, clearedFingerprints: [fingerprint] });
    }
  }

  /**
   * Notes which incarnation of an upstream answered or reported.
   *
   * @param upstreamId - the upstream
   * @param incarnation - as the upstream names it
   */
  recordIncarnation(upstreamId: UpstreamId, incarnation: string): void {
    const observed = this.#upstreams.get(upstreamId);
    if (observed?.incarnation !== incarnation) {
      this.#upstreams.set(upstreamId, { incarnation, crashedAtMs: null });
      return;
    }
    const nowMs = this.#context.getNowMs();
    const isAlive = observed.crashedAtMs !== null
      && nowMs >= observed.crashedAtMs + this.#options.reportLagMs;
    if (isAlive) {
      this.#upstreams.set(upstreamId, { incarnation, crashedAtMs: null });
      const deathId = `${upstreamId}/${incarnation}`;
      this.#retract(deathId);
      this.#announce({ ...EMPTY_MESSAGE, retractedDeathIds: [deathId] });
    }
  }

  /**
   * Takes a peer's message; others are passed over. What is new is passed on.
   *
   * @param message - a message from an authenticated peer
   * @returns whether it was one of the quarantine's
   */
  handlePeerMessage(message: PeerMessage): boolean {
    if (message.kind !== 'quarantine') {
      return false;
    }
    const limit = this.#options.maxMessageRecords;
    const newFingerprints = message.suspects.slice(0, limit)
      .filter(({ fingerprint, deaths, expiresInMs }) => (
        this.#addCrashes(fingerprint, deaths, Math.min(expiresInMs, this.#options.retentionMs))
      ))
      .map(({ fingerprint }) => fingerprint);
    const cleared = message.clearedFingerprints.slice(0, limit)
      .filter((fingerprint) => this.getRefusal(fingerprint) === null)
      .filter((fingerprint) => this.#suspects.delete(fingerprint));
    const retracted = message.retractedDeathIds.slice(0, limit)
      .filter((deathId) => this.#retract(deathId));
    this.#announceSuspects(newFingerprints);
    if (cleared.length > 0 || retracted.length > 0) {
      this.#announce({
        ...EMPTY_MESSAGE, clearedFingerprints: cleared, retractedDeathIds: retracted,
      });
    }
    return true;
  }

  #getSuspect(fingerprint: string): Suspect | null {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect !== undefined && suspect.expiresAtMs <= this.#context.getNowMs()) {
      this.#suspects.delete(fingerprint);
      return null;
    }
    return suspect ?? null;
  }

  /** Returns whether a death was new for the request. */
  #addCrashes(
    fingerprint: string,
    deaths: readonly SuspectCrash[],
    expiresInMs: number,
  ): boolean {
    const known = this.#getSuspect(fingerprint);
    const newCrashes = deaths.filter(({ deathId }) => known?.crashes.has(deathId) !== true)
      .slice(0, this.#options.crashLimit);
    if (newCrashes.length === 0) {
      return false;
    }
    const entries = newCrashes.map(({ deathId, poolId }): [string, PoolId] => [deathId, poolId]);
    // Deaths beyond the limit change nothing, so that a record stays small.
    const merged = [...known?.crashes ?? [], ...entries].slice(0, this.#options.crashLimit);
    const expiresAtMs = Math.max(
      known?.expiresAtMs ?? 0,
      this.#context.getNowMs() + expiresInMs,
    );
    this.#suspects.delete(fingerprint);
    this.#suspects.set(fingerprint, { crashes: new Map(merged), expiresAtMs });
    this.#evictOldest();
    return merged.length > (known?.crashes.size ?? 0);
  }

  #evictOldest(): void {
    const [oldest] = this.#suspects.keys();
    if (oldest !== undefined && this.#suspects.size > this.#options.maxSuspects) {
      this.#suspects.delete(oldest);
    }
  }

  #retract(deathId: string): boolean {
    const affected = [...this.#suspects].filter(([, { crashes: deaths }]) => deaths.has(deathId));
    affected.forEach(([fingerprint, { crashes: deaths, expiresAtMs }]) => {
      const remaining = new Map([...deaths].filter(([id]) => id !== deathId));
      if (remaining.size === 0) {
        this.#suspects.delete(fingerprint);
      } else {
        this.#suspects.set(fingerprint, { crashes: remaining, expiresAtMs });
      }
    });
    return affected.length > 0;
  }

  #announceSuspects(fingerprints: readonly string[]): void {
    const suspects = fingerprints.flatMap((fingerprint): SuspectRecord[] => {
      const suspect = this.#getSuspect(fingerprint);
      return suspect === null ? [] : [{
        fingerprint,
        deaths: [...suspect.crashes].map(([deathId, poolId]) => ({ deathId, poolId })),
        expiresInMs: suspect.expiresAtMs - this.#context.getNowMs(),
      }];
    });
    if (suspects.length > 0) {
      this.#announce({ ...EMPTY_MESSAGE, suspects });
    }
  }

  #announce(message: QuarantineMessage): void {
    this.#choosePeers().forEach(({ hostId, address }) => {
      this.#context.emit({
        kind: 'sendPeerMessage', toHostId: hostId, address, message,
      });
    });
  }

  #choosePeers(): readonly QuarantinePeer[] {
    const { fanOut } = this.#options;
    if (this.#peers.length <= fanOut) {
      return this.#peers;
    }
    const start = Math.floor(this.#context.random.getFraction() * this.#peers.length);
    const rotated = [...this.#peers.slice(start), ...this.#peers.slice(0, start)];
    return rotated.slice(0, fanOut);
  }
}
