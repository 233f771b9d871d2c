import type { GrantReplyMessage } from './GrantMessage.ts';

interface Slot {
  /** Names a granted slot; null for one of the host's own share. */
  readonly askId: string | null;
  /** When the attempt in it has ended at the latest. */
  readonly endsAtMs: number;
  isUsed: boolean;
  /** True when the attempt's end was reported, but is not certain. */
  isEndUncertain: boolean;
  /** When a free slot is given back. */
  returnAtMs: number;
}

interface PendingRequest {
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

  #pendingRequest: PendingRequest | null = null;

  /** The last ask, when its answer did not come; it may have been granted. */
  #lostRequest: PendingRequest | null = null;

  #nextRequestAtMs = 0;

  /** Attempts whose slot's time was over before their end was reported. */
  #overdueCount = 0;

  /**
   * @returns whether nothing is held, awaited or remembered
   */
  isEmpty(): boolean {
    return this.#slots.length === 0 && this.#pendingRequest === null && this.#lostRequest === null
      && this.#overdueCount === 0;
  }

  /**
   * @param nowMs - the time of the step
   * @returns whether a granted slot is free
   */
  hasFreeSlot(nowMs: number): boolean {
    return this.#slots.some((slot) => !slot.isUsed && slot.endsAtMs > nowMs);
  }

  /**
   * @param askId - an ask
   * @returns whether the slot that it got is held
   */
  holdsGrant(askId: string): boolean {
    return this.#slots.some((slot) => slot.askId === askId);
  }

  /**
   * @param nowMs - the time of the step
   * @param minEndsAtMs - the slot must not end before
   * @returns the end of the slot that was taken; null when none is free
   */
  tryTakeGranted(nowMs: number, minEndsAtMs: number): number | null {
    this.removeExpired(nowMs);
    const slot = this.#slots.find((each) => !each.isUsed && each.endsAtMs >= minEndsAtMs);
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
  tryTakeShare(nowMs: number, shareCount: number, endsAtMs: number): boolean {
    this.removeExpired(nowMs);
    if (this.#slots.filter((slot) => slot.askId === null).length >= shareCount) {
      return false;
    }
    this.#slots.push({
      askId: null, endsAtMs, isUsed: true, isEndUncertain: false, returnAtMs: Infinity,
    });
    return true;
  }

  /**
   * @param nowMs - the time of the step
   * @returns whether the host may ask for a slot now
   */
  canRequest(nowMs: number): boolean {
    const isWaiting = this.#pendingRequest !== null && nowMs < this.#pendingRequest.timeoutAtMs;
    return !isWaiting && nowMs >= this.#nextRequestAtMs && !this.hasFreeSlot(nowMs);
  }

  /**
   * @param askId - the ask that was sent
   * @param sentAtMs - when
   * @param timeoutAtMs - when it is taken for lost
   */
  recordRequest(askId: string, sentAtMs: number, timeoutAtMs: number): void {
    // A repeated ask may be answered by the reply to the first: the slot counts from that one.
    const firstSentAtMs = this.#lostRequest?.askId === askId ? this.#lostRequest.sentAtMs : sentAtMs;
    this.#pendingRequest = { askId, sentAtMs: firstSentAtMs, timeoutAtMs };
    this.#lostRequest = null;
  }

  /**
   * @param sentSinceMs - an older ask is not repeated, as little would be left of its slot
   * @returns the ask to repeat, whose answer was lost; null for none
   */
  getLostAskId(sentSinceMs: number): string | null {
    return this.#lostRequest !== null && this.#lostRequest.sentAtMs >= sentSinceMs ? this.#lostRequest.askId : null;
  }

  /**
   * @param reply - a steward's answer
   * @param nowMs - the time of the step
   * @param returnAtMs - when the slot is given back if it is not used
   * @returns whether the answer is to the ask that is under way
   */
  recordReply(reply: GrantReplyMessage, nowMs: number, returnAtMs: number): boolean {
    const ask = this.#pendingRequest;
    if (ask === null || ask.askId !== reply.askId) {
      return false;
    }
    this.#pendingRequest = null;
    this.#nextRequestAtMs = nowMs + reply.retryAfterMs;
    const endsAtMs = ask.sentAtMs + reply.durationMs;
    if (endsAtMs > nowMs && reply.durationMs > 0) {
      this.#slots.push({
        askId: reply.askId, endsAtMs, isUsed: false, isEndUncertain: false, returnAtMs,
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
    this.removeExpired(nowMs);
    if (this.#overdueCount > 0) {
      this.#overdueCount -= 1;
      return;
    }
    const used = this.#slots
      .filter((slot) => slot.isUsed && !slot.isEndUncertain)
      .sort((left, right) => left.endsAtMs - right.endsAtMs);
    const slot = isCertain ? used[0] : used[used.length - 1];
    if (slot === undefined) {
      return;
    }
    if (!isCertain) {
      slot.isEndUncertain = true;
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
  removeIdle(nowMs: number): string[] {
    const idle = this.#slots.filter((slot) => !slot.isUsed && slot.returnAtMs <= nowMs);
    this.#slots = this.#slots.filter((slot) => !idle.includes(slot));
    return idle.map((slot) => slot.askId).filter((askId) => askId !== null);
  }

  /**
   * Forgets what is over.
   *
   * @param nowMs - the time of the step
   */
  removeExpired(nowMs: number): void {
    const ended = this.#slots.filter((slot) => slot.endsAtMs <= nowMs);
    if (ended.length > 0) {
      this.#overdueCount += ended.filter((slot) => slot.isUsed && !slot.isEndUncertain).length;
      this.#slots = this.#slots.filter((slot) => slot.endsAtMs > nowMs);
    }
    if (this.#pendingRequest !== null && this.#pendingRequest.timeoutAtMs <= nowMs) {
      this.#lostRequest = this.#pendingRequest;
      this.#pendingRequest = null;
    }
  }

  /**
   * @returns when a slot is to be returned or is over, or an ask is lost; Infinity for never
   */
  getNextWakeMs(): number {
    const times = this.#slots
      .map((slot) => (slot.isUsed ? slot.endsAtMs : Math.min(slot.endsAtMs, slot.returnAtMs)));
    return Math.min(this.#pendingRequest?.timeoutAtMs ?? Infinity, ...times);
  }
}
