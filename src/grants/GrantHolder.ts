import type { CoreContext } from '../core/CoreContext.ts';
import type { UpstreamId } from '../lib/ids.ts';
import type { GrantMessage, GrantReplyMessage } from './GrantMessage.ts';
import { DEFAULT_GRANT_OPTIONS, getGrantSplit, type GrantOptions } from './GrantOptions.ts';
import { HeldSlots } from './HeldSlots.ts';
import type {
  GrantCoordinatorHost, GrantCoordinatorDirectory,
} from './GrantCoordinatorDirectory.ts';

/** Sends a message to a grant coordinator, which may be this host. */
export type SendToGrantCoordinator = (
  coordinator: GrantCoordinatorHost,
  message: GrantMessage,
) => void;

/**
 * Slots that this host holds at cold upstreams: its own share, which needs no coordinator, and
 * slots granted by coordinators. A granted slot ends one duration after its request was sent; the
 * coordinator counts from the arrival of the request, so its end of the slot is always later. An
 * attempt acquires a slot only when it ends before the slot does. When the end of an attempt at
 * the upstream is not certain (timeout, cancel, broken connection), its slot stays used until the
 * slot ends.
 *
 * ```ts
 * if (holder.tryAcquire(upstreamId, coldStartLimit, timeoutMs) !== null) send(...);
 * else holder.requestSlot(upstreamId, timeoutMs);
 * holder.release(upstreamId, isCertain);           // the attempt has ended
 * holder.handleReply(reply);
 * holder.tick();                                   // at getNextWakeMs(): returns idle slots
 * holder.returnFreeSlots(upstreamId);              // the upstream is warm or out of service
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
   * @param directory - the grant coordinator of each upstream
   * @param send - sends messages to coordinators
   * @param options - durations and limits of grants; omitted ones take their defaults
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
   * Acquires a slot for an attempt.
   *
   * @param upstreamId - upstream of the attempt
   * @param coldStartLimit - maximum concurrent attempts at the cold upstream, over all hosts
   * @param timeoutMs - maximum duration of the attempt
   * @returns latest time at which the attempt must have ended; null when no slot is free
   */
  tryAcquire(upstreamId: UpstreamId, coldStartLimit: number, timeoutMs: number): number | null {
    const nowMs = this.#context.getNowMs();
    const slots = this.#getSlots(upstreamId);
    const { slotsPerHost } = getGrantSplit(
      coldStartLimit,
      this.#directory.getHostCountBound(),
      this.#options.shareFraction,
    );
    const { grantMs, requestSlackMs } = this.#options;
    const minEndMs = nowMs + Math.min(timeoutMs, grantMs - requestSlackMs);
    const grantedUntilMs = slots.tryTakeGranted(nowMs, minEndMs);
    if (grantedUntilMs !== null) {
      return Math.min(grantedUntilMs, nowMs + timeoutMs);
    }
    const endMs = nowMs + Math.min(timeoutMs, this.#options.maxGrantMs);
    return slots.tryTakeShare(nowMs, slotsPerHost, endMs) ? endMs : null;
  }

  /**
   * Requests a slot from the coordinator, unless a request is pending, a slot is free or the retry
   * delay of a denial has not passed.
   *
   * @param upstreamId - the upstream
   * @param timeoutMs - maximum duration of the waiting attempt
   */
  requestSlot(upstreamId: UpstreamId, timeoutMs: number): void {
    const nowMs = this.#context.getNowMs();
    const slots = this.#getSlots(upstreamId);
    const coordinator = this.#directory.getGrantCoordinator(upstreamId);
    if (coordinator === null || !slots.canRequest(nowMs)) {
      return;
    }
    const {
      grantMs, maxGrantMs, replyTimeoutMs, requestSlackMs,
    } = this.#options;
    const durationMs = Math.min(maxGrantMs, Math.max(grantMs, timeoutMs + requestSlackMs));
    slots.removeExpired(nowMs);
    const askId = slots.getLostAskId(nowMs - grantMs) ?? this.#context.random.getHexId();
    slots.recordRequest(askId, nowMs, nowMs + replyTimeoutMs);
    this.#send(coordinator, {
      kind: 'grantAsk', askId, upstreamId, durationMs,
    });
  }

  /**
   * Handles a coordinator's reply.
   *
   * @param reply - the reply
   * @returns whether the reply granted a slot
   */
  handleReply(reply: GrantReplyMessage): boolean {
    const nowMs = this.#context.getNowMs();
    const slots = this.#held.get(reply.upstreamId);
    const isKnown = slots?.recordReply(reply, nowMs, nowMs + this.#options.maxIdleMs) ?? false;
    // A duplicate reply must not return a slot that is in use.
    const isHeld = slots?.holdsGrant(reply.askId) ?? false;
    if (!isKnown && !isHeld && reply.durationMs > 0) {
      this.#sendReturn(reply.upstreamId, reply.askId);
    }
    return isKnown && reply.durationMs > 0;
  }

  /**
   * Releases the slot of an attempt.
   *
   * @param upstreamId - upstream of the attempt
   * @param isCertain - whether the attempt is known to have ended at the upstream
   */
  release(upstreamId: UpstreamId, isCertain: boolean): void {
    const nowMs = this.#context.getNowMs();
    this.#held.get(upstreamId)?.release(nowMs, isCertain, nowMs + this.#options.maxIdleMs);
  }

  /**
   * @param upstreamId - the upstream
   * @returns whether a granted slot is free at the upstream
   */
  hasFreeSlot(upstreamId: UpstreamId): boolean {
    return this.#held.get(upstreamId)?.hasFreeSlot(this.#context.getNowMs()) ?? false;
  }

  /**
   * Returns all free slots of an upstream that needs no more slots.
   *
   * @param upstreamId - the upstream
   */
  returnFreeSlots(upstreamId: UpstreamId): void {
    this.#returnIdleSlots(upstreamId, Infinity);
  }

  /** Returns the slots that were idle for too long and removes expired ones. */
  tick(): void {
    [...this.#held.keys()].forEach((id) => this.#returnIdleSlots(id, this.#context.getNowMs()));
  }

  /**
   * @returns time at which the next tick is due; Infinity for never
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
    const coordinator = this.#directory.getGrantCoordinator(upstreamId);
    if (coordinator !== null) {
      this.#send(coordinator, { kind: 'grantReturn', askId, upstreamId });
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
