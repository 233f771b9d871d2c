import type { CoreContext } from '../core/CoreContext.ts';
import type { UpstreamId } from '../lib/ids.ts';
import type { GrantMessage, GrantReplyMessage } from './GrantMessage.ts';
import { DEFAULT_GRANT_OPTIONS, getGrantSplit, type GrantOptions } from './GrantOptions.ts';
import { HeldSlots } from './HeldSlots.ts';
import type { Steward, StewardDirectory } from './StewardDirectory.ts';

/** Sends a message to a steward, which may be this host. */
export type SendToSteward = (steward: Steward, message: GrantMessage) => void;

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

  readonly #directory: StewardDirectory;

  readonly #send: SendToSteward;

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
    directory: StewardDirectory,
    send: SendToSteward,
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
   * @param bearable - attempts that the upstream bears while cold, over all hosts
   * @param timeoutMs - how long the attempt may take
   * @returns when the attempt has to have ended at the latest; null when no slot is free
   */
  take(upstreamId: UpstreamId, bearable: number, timeoutMs: number): number | null {
    const nowMs = this.#context.getNowMs();
    const slots = this.#getSlots(upstreamId);
    const { perHost } = getGrantSplit(
      bearable,
      this.#directory.getHostCountBound(),
      this.#options.shareFraction,
    );
    const { grantMs, askSlackMs } = this.#options;
    const minEndMs = nowMs + Math.min(timeoutMs, grantMs - askSlackMs);
    const grantedUntilMs = slots.takeGranted(nowMs, minEndMs);
    if (grantedUntilMs !== null) {
      return Math.min(grantedUntilMs, nowMs + timeoutMs);
    }
    const endMs = nowMs + Math.min(timeoutMs, this.#options.maxGrantMs);
    return slots.takeShare(nowMs, perHost, endMs) ? endMs : null;
  }

  /**
   * Asks the steward for a slot, unless an ask is under way, one is free or it is too early.
   *
   * @param upstreamId - the upstream
   * @param timeoutMs - how long the attempt that waits may take
   */
  ask(upstreamId: UpstreamId, timeoutMs: number): void {
    const nowMs = this.#context.getNowMs();
    const slots = this.#getSlots(upstreamId);
    const steward = this.#directory.getSteward(upstreamId);
    if (steward === null || !slots.mayAsk(nowMs)) {
      return;
    }
    const {
      grantMs, maxGrantMs, askTimeoutMs, askSlackMs,
    } = this.#options;
    const durationMs = Math.min(maxGrantMs, Math.max(grantMs, timeoutMs + askSlackMs));
    slots.forgetEnded(nowMs);
    const askId = slots.getLostAskId(nowMs - grantMs) ?? this.#context.random.getHexId();
    slots.noteAsk(askId, nowMs, nowMs + askTimeoutMs);
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
    const isKnown = slots?.noteReply(reply, nowMs, nowMs + this.#options.idleMs) ?? false;
    // A repeated reply must not give back a slot that is in use.
    const isHeld = slots?.isHeld(reply.askId) ?? false;
    if (!isKnown && !isHeld && reply.durationMs > 0) {
      this.#return(reply.upstreamId, reply.askId);
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
    this.#held.get(upstreamId)?.release(nowMs, isCertain, nowMs + this.#options.idleMs);
  }

  /**
   * @param upstreamId - the upstream
   * @returns whether a granted slot is free there
   */
  hasFree(upstreamId: UpstreamId): boolean {
    return this.#held.get(upstreamId)?.hasFree(this.#context.getNowMs()) ?? false;
  }

  /**
   * Gives back what is free, as no more is needed at an upstream.
   *
   * @param upstreamId - the upstream
   */
  drop(upstreamId: UpstreamId): void {
    this.#returnIdle(upstreamId, Infinity);
  }

  /** Gives back the slots that were idle for long and forgets those whose time is over. */
  tick(): void {
    [...this.#held.keys()].forEach((id) => this.#returnIdle(id, this.#context.getNowMs()));
  }

  /**
   * @returns when the next tick is due; Infinity for never
   */
  getNextWakeMs(): number {
    return Math.min(Infinity, ...[...this.#held.values()].map((slots) => slots.getNextWakeMs()));
  }

  #returnIdle(upstreamId: UpstreamId, idleSinceMs: number): void {
    const slots = this.#held.get(upstreamId);
    if (slots === undefined) {
      return;
    }
    slots.takeIdle(idleSinceMs).forEach((askId) => this.#return(upstreamId, askId));
    slots.forgetEnded(this.#context.getNowMs());
    if (slots.isEmpty()) {
      this.#held.delete(upstreamId);
    }
  }

  #return(upstreamId: UpstreamId, askId: string): void {
    const steward = this.#directory.getSteward(upstreamId);
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
