import type { GrantReplyMessage } from './GrantMessage.ts';

interface Slot {
  /** Names a granted slot; null for one of the host's own share. */
  readonly askId: string | null;
  /** When the attempt in it has ended at the latest. */
  readonly endsAtMs: number;
  isUsed: boolean;
  /** True when the attempt's end was reported, but is not certain. */
  isAbandoned: boolean;
  /** When a free slot is given back. */
  returnAtMs: number;
}

interface PendingAsk {
  readonly askId: string;
  readonly sentAtMs: number;
  readonly timeoutAtMs: number;
}

/**
 * The slots of one host at one upstream. Attempts are not tied to slots: what counts is that at any
 * time there are at least as many used slots with a later end as attempts that may still run.
 * Therefore a certain end frees the used slot that ends first, and an uncertain end abandons the
 * one that ends last.
 */
export class HeldSlots {
  #slots: Slot[] = [];

  #pending: PendingAsk | null = null;

  /** The last ask, when its answer did not come; it may have been granted. */
  #lost: PendingAsk | null = null;

  #askAgainAtMs = 0;

  /** Attempts whose slot's time was over before their end was reported. */
  #overdueCount = 0;

  /**
   * @returns whether nothing is held, awaited or remembered
   */
  isEmpty(): boolean {
    return this.#slots.length === 0 && this.#pending === null && this.#lost === null
      && this.#overdueCount === 0;
  }

  /**
   * @param nowMs - the time of the step
   * @returns whether a granted slot is free
   */
  hasFree(nowMs: number): boolean {
    return this.#slots.some((slot) => !slot.isUsed && slot.endsAtMs > nowMs);
  }

  /**
   * @param askId - an ask
   * @returns whether the slot that it got is held
   */
  isHeld(askId: string): boolean {
    return this.#slots.some((slot) => slot.askId === askId);
  }

  /**
   * @param nowMs - the time of the step
   * @param minEndMs - the slot must not end before
   * @returns the end of the slot that was taken; null when none is free
   */
  takeGranted(nowMs: number, minEndMs: number): number | null {
    this.forgetEnded(nowMs);
    const slot = this.#slots.find((each) => !each.isUsed && each.endsAtMs >= minEndMs);
    if (slot === undefined) {
      return null;
    }
    slot.isUsed = true;
    return slot.endsAtMs;
  }

  /**
   * @param nowMs - the time of the step
   * @param shareCount - slots of the host's own share
   * @param endsAtMs - when the attempt has ended at the latest
   * @returns whether a slot of the share was free and is now taken
   */
  takeShare(nowMs: number, shareCount: number, endsAtMs: number): boolean {
    this.forgetEnded(nowMs);
    if (this.#slots.filter((slot) => slot.askId === null).length >= shareCount) {
      return false;
    }
    this.#slots.push({
      askId: null, endsAtMs, isUsed: true, isAbandoned: false, returnAtMs: Infinity,
    });
    return true;
  }

  /**
   * @param nowMs - the time of the step
   * @returns whether the host may ask for a slot now
   */
  mayAsk(nowMs: number): boolean {
    const isWaiting = this.#pending !== null && nowMs < this.#pending.timeoutAtMs;
    return !isWaiting && nowMs >= this.#askAgainAtMs && !this.hasFree(nowMs);
  }

  /**
   * @param askId - the ask that was sent
   * @param sentAtMs - when
   * @param timeoutAtMs - when it is taken for lost
   */
  noteAsk(askId: string, sentAtMs: number, timeoutAtMs: number): void {
    // A repeated ask may be answered by the reply to the first: the slot counts from that one.
    const firstSentAtMs = this.#lost?.askId === askId ? this.#lost.sentAtMs : sentAtMs;
    this.#pending = { askId, sentAtMs: firstSentAtMs, timeoutAtMs };
    this.#lost = null;
  }

  /**
   * @param sentSinceMs - an older ask is not repeated, as little would be left of its slot
   * @returns the ask to repeat, whose answer was lost; null for none
   */
  getLostAskId(sentSinceMs: number): string | null {
    return this.#lost !== null && this.#lost.sentAtMs >= sentSinceMs ? this.#lost.askId : null;
  }

  /**
   * @param reply - a steward's answer
   * @param nowMs - the time of the step
   * @param returnAtMs - when the slot is given back if it is not used
   * @returns whether the answer is to the ask that is under way
   */
  noteReply(reply: GrantReplyMessage, nowMs: number, returnAtMs: number): boolean {
    const ask = this.#pending;
    if (ask === null || ask.askId !== reply.askId) {
      return false;
    }
    this.#pending = null;
    this.#askAgainAtMs = nowMs + reply.retryAfterMs;
    const endsAtMs = ask.sentAtMs + reply.durationMs;
    if (endsAtMs > nowMs && reply.durationMs > 0) {
      this.#slots.push({
        askId: reply.askId, endsAtMs, isUsed: false, isAbandoned: false, returnAtMs,
      });
    }
    return true;
  }

  /**
   * @param nowMs - the time of the step
   * @param isCertain - whether the attempt is known to have ended
   * @param returnAtMs - when the slot is given back if it is not used again
   */
  release(nowMs: number, isCertain: boolean, returnAtMs: number): void {
    this.forgetEnded(nowMs);
    if (this.#overdueCount > 0) {
      this.#overdueCount -= 1;
      return;
    }
    const used = this.#slots
      .filter((slot) => slot.isUsed && !slot.isAbandoned)
      .sort((left, right) => left.endsAtMs - right.endsAtMs);
    const slot = isCertain ? used[0] : used[used.length - 1];
    if (slot === undefined) {
      return;
    }
    if (!isCertain) {
      slot.isAbandoned = true;
    } else if (slot.askId === null) {
      this.#slots = this.#slots.filter((each) => each !== slot);
    } else {
      slot.isUsed = false;
      slot.returnAtMs = returnAtMs;
    }
  }

  /**
   * Takes out the slots that were free for long.
   *
   * @param nowMs - slots that were to be returned until then
   * @returns the asks that had got them
   */
  takeIdle(nowMs: number): string[] {
    const idle = this.#slots.filter((slot) => !slot.isUsed && slot.returnAtMs <= nowMs);
    this.#slots = this.#slots.filter((slot) => !idle.includes(slot));
    return idle.map((slot) => slot.askId).filter((askId) => askId !== null);
  }

  /**
   * Forgets what is over.
   *
   * @param nowMs - the time of the step
   */
  forgetEnded(nowMs: number): void {
    const ended = this.#slots.filter((slot) => slot.endsAtMs <= nowMs);
    if (ended.length > 0) {
      this.#overdueCount += ended.filter((slot) => slot.isUsed && !slot.isAbandoned).length;
      this.#slots = this.#slots.filter((slot) => slot.endsAtMs > nowMs);
    }
    if (this.#pending !== null && this.#pending.timeoutAtMs <= nowMs) {
      this.#lost = this.#pending;
      this.#pending = null;
    }
  }

  /**
   * @returns when a slot is to be returned or is over, or an ask is lost; Infinity for never
   */
  getNextWakeMs(): number {
    const times = this.#slots
      .map((slot) => (slot.isUsed ? slot.endsAtMs : Math.min(slot.endsAtMs, slot.returnAtMs)));
    return Math.min(this.#pending?.timeoutAtMs ?? Infinity, ...times);
  }
}
