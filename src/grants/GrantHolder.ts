import type { CoreContext } from '../core/CoreContext.ts';
import type { UpstreamId } from '../lib/ids.ts';
import type { GrantMessage, GrantReplyMessage } from './GrantMessage.ts';
import { DEFAULT_GRANT_OPTIONS, getGrantSplit, type GrantOptions } from './GrantOptions.ts';
import { HeldSlots } from './HeldSlots.ts';
import type { GrantCoordinatorHost, GrantCoordinatorDirectory } from './GrantCoordinatorDirectory.ts';

/** Sends a message to a steward, which may be this host. */
export type SendToGrantCoordinator = (steward: GrantCoordinatorHost, message: GrantMessage) => void;

/**
 * The slots that this host has at cold upstreams: its own share, which needs no steward, and what
 * stewards have granted. A granted slot ends at the send of its ask plus its duration, which the
 * steward, who counts from the arrival of the ask, always reaches later. An attempt takes a slot
 * only when it ends before the slot does. When the end of an attempt at the upstream is not
 * certain (timeout, cancel, broken connection), its slot stays used until its time is over.
 *
 * ```ts
 * if (holder.take(upstreamId, bearable, timeoutMs)) send(...);
 * else holder.ask(upstreamId, timeoutMs);
 * holder.release(upstreamId, isCertain);           // the attempt has ended
 * holder.handleReply(reply);
 * holder.tick();                                   // at getNextWakeMs(): returns idle slots
 * holder.drop(upstreamId);                         // it is warm, or out of service
 * ```
 */
export class GrantHolder {
  readonly #context: CoreContext;

  readonly #directory: GrantCoordinatorDirectory;

  readonly #send: SendToGrantCoordinator;

  readonly #options: GrantOptions;

  readonly #held = new Map<UpstreamId, HeldSlots>();

  /**
   * @param context - the time of the step and randomness
   * @param directory - who is steward
   * @param send - the way to stewards
   * @param options - how slots are granted; what is left out takes its default
   */
  constructor(
    context: CoreContext,
    directory: GrantCoordinatorDirectory,
    send: SendToGrantCoordinator,
    options: Partial<GrantOptions> = {},
  ) {
    this.#context = context;
    this.#directory = directory;
    this.#send = send;
    this.#options = { ...DEFAULT_GRANT_OPTIONS, ...options };
  }

  /**
   * Takes a slot for an attempt.
   *
   * @param upstreamId - where the attempt goes
   * @param coldStartLimit - attempts that the upstream bears while cold, over all hosts
   * @param timeoutMs - how long the attempt may take
   * @returns when the attempt has to have ended at the latest; null when no slot is free
   */
  tryAcquire(upstreamId: UpstreamId, coldStartLimit: number, timeoutMs: number): number | null {
    const nowMs = this.#context.getNowMs();
    const slots = this.#getSlots(upstreamId);
    const { slotsPerHost: perHost } = getGrantSplit(
      coldStartLimit,
      this.#directory.getHostCountBound(),
      this.#options.shareFraction,
    );
    const { grantMs, requestSlackMs: askSlackMs } = this.#options;
    const minEndMs = nowMs + Math.min(timeoutMs, grantMs - askSlackMs);
    const grantedUntilMs = slots.tryTakeGranted(nowMs, minEndMs);
    if (grantedUntilMs !== null) {
      return Math.min(grantedUntilMs, nowMs + timeoutMs);
    }
    const endMs = nowMs + Math.min(timeoutMs, this.#options.maxGrantMs);
    return slots.tryTakeShare(nowMs, perHost, endMs) ? endMs : null;
  }

  /**
   * Asks the steward for a slot, unless an ask is under way, one is free or it is too early.
   *
   * @param upstreamId - the upstream
   * @param timeoutMs - how long the attempt that waits may take
   */
  requestSlot(upstreamId: UpstreamId, timeoutMs: number): void {
    const nowMs = this.#context.getNowMs();
    const slots = this.#getSlots(upstreamId);
    const steward = this.#directory.getGrantCoordinator(upstreamId);
    if (steward === null || !slots.canRequest(nowMs)) {
      return;
    }
    const {
      grantMs, maxGrantMs, replyTimeoutMs: askTimeoutMs, requestSlackMs: askSlackMs,
    } = this.#options;
    const durationMs = Math.min(maxGrantMs, Math.max(grantMs, timeoutMs + askSlackMs));
    slots.removeExpired(nowMs);
    const askId = slots.getLostAskId(nowMs - grantMs) ?? this.#context.random.getHexId();
    slots.recordRequest(askId, nowMs, nowMs + askTimeoutMs);
    this.#send(steward, {
      kind: 'grantAsk', askId, upstreamId, durationMs,
    });
  }

  /**
   * Takes a steward's answer.
   *
   * @param reply - the answer
   * @returns whether a slot became free
   */
  handleReply(reply: GrantReplyMessage): boolean {
    const nowMs = this.#context.getNowMs();
    const slots = this.#held.get(reply.upstreamId);
    const isKnown = slots?.recordReply(reply, nowMs, nowMs + this.#options.maxIdleMs) ?? false;
    // A repeated reply must not give back a slot that is in use.
    const isHeld = slots?.holdsGrant(reply.askId) ?? false;
    if (!isKnown && !isHeld && reply.durationMs > 0) {
      this.#sendReturn(reply.upstreamId, reply.askId);
    }
    return isKnown && reply.durationMs > 0;
  }

  /**
   * Frees the slot of an attempt.
   *
   * @param upstreamId - where it ran
   * @param isCertain - whether the upstream is known to have ended it
   */
  release(upstreamId: UpstreamId, isCertain: boolean): void {
    const nowMs = this.#context.getNowMs();
    this.#held.get(upstreamId)?.release(nowMs, isCertain, nowMs + this.#options.maxIdleMs);
  }

  /**
   * @param upstreamId - the upstream
   * @returns whether a granted slot is free there
   */
  hasFreeSlot(upstreamId: UpstreamId): boolean {
    return this.#held.get(upstreamId)?.hasFreeSlot(this.#context.getNowMs()) ?? false;
  }

  /**
   * Gives back what is free, as no more is needed at an upstream.
   *
   * @param upstreamId - the upstream
   */
  returnFreeSlots(upstreamId: UpstreamId): void {
    this.#returnIdleSlots(upstreamId, Infinity);
  }

  /** Gives back the slots that were idle for long and forgets those whose time is over. */
  tick(): void {
    [...this.#held.keys()].forEach((id) => this.#returnIdleSlots(id, this.#context.getNowMs()));
  }

  /**
   * @returns when the next tick is due; Infinity for never
   */
  getNextWakeMs(): number {
    return Math.min(Infinity, ...[...this.#held.values()].map((slots) => slots.getNextWakeMs()));
  }

  #returnIdleSlots(upstreamId: UpstreamId, idleSinceMs: number): void {
    const slots = this.#held.get(upstreamId);
    if (slots === undefined) {
      return;
    }
    slots.removeIdle(idleSinceMs).forEach((askId) => this.#sendReturn(upstreamId, askId));
    slots.removeExpired(this.#context.getNowMs());
    if (slots.isEmpty()) {
      this.#held.delete(upstreamId);
    }
  }

  #sendReturn(upstreamId: UpstreamId, askId: string): void {
    const steward = this.#directory.getGrantCoordinator(upstreamId);
    if (steward !== null) {
      this.#send(steward, { kind: 'grantReturn', askId, upstreamId });
    }
  }

  #getSlots(upstreamId: UpstreamId): HeldSlots {
    const known = this.#held.get(upstreamId);
    if (known !== undefined) {
      return known;
    }
    const created = new HeldSlots();
    this.#held.set(upstreamId, created);
    return created;
  }
}
