import type { GrantReplyMessage } from './GrantMessage.ts';

interface Slot {
  /** Id of a granted slot; null for a slot of the host's own share. */
  readonly askId: string | null;
  /** Latest time at which the attempt in the slot has ended. */
  readonly endsAtMs: number;
  isUsed: boolean;
  /** True when the attempt was released, but may still run at the upstream. */
  isEndUncertain: boolean;
  /** When the slot is returned to the coordinator if it is free. */
  returnAtMs: number;
}

interface PendingRequest {
  readonly askId: string;
  readonly sentAtMs: number;
  readonly timeoutAtMs: number;
}

/**
 * The slots of one host at one upstream. Attempts are not bound to particular slots: at any time,
 * the number of used slots that end later must be at least the number of attempts that may still
 * run. Therefore a certain end of an attempt frees the used slot that ends first, and an uncertain
 * end marks the one that ends last.
 */
export class HeldSlots {
  #slots: Slot[] = [];

  #pendingRequest: PendingRequest | null = null;

  /** The last request, when its reply did not arrive; it may have been granted. */
  #lostRequest: PendingRequest | null = null;

  #nextRequestAtMs = 0;

  /** Number of attempts whose slot ended before the attempt's end was reported. */
  #overdueCount = 0;

  /**
   * @returns whether there are no slots, requests or overdue attempts
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
   * @param askId - id of a slot request
   * @returns whether the slot granted for it is held
   */
  holdsGrant(askId: string): boolean {
    return this.#slots.some((slot) => slot.askId === askId);
  }

  /**
   * @param nowMs - the time of the step
   * @param minEndsAtMs - earliest acceptable end of the slot
   * @returns end of the acquired slot; null when no suitable slot is free
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
   * @param shareCount - number of slots in the host's own share
   * @param endsAtMs - latest time at which the attempt has ended
   * @returns whether a slot of the share was free and has been acquired
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
   * @returns whether the host may request a slot now
   */
  canRequest(nowMs: number): boolean {
    const isWaiting = this.#pendingRequest !== null && nowMs < this.#pendingRequest.timeoutAtMs;
    return !isWaiting && nowMs >= this.#nextRequestAtMs && !this.hasFreeSlot(nowMs);
  }

  /**
   * @param askId - id of the request that was sent
   * @param sentAtMs - when it was sent
   * @param timeoutAtMs - when its reply counts as lost
   */
  recordRequest(askId: string, sentAtMs: number, timeoutAtMs: number): void {
    // The reply to the first request may answer a repeated one: the slot counts from the first.
    const firstSentAtMs = this.#lostRequest?.askId === askId
      ? this.#lostRequest.sentAtMs
      : sentAtMs;
    this.#pendingRequest = { askId, sentAtMs: firstSentAtMs, timeoutAtMs };
    this.#lostRequest = null;
  }

  /**
   * @param sentSinceMs - older requests are not repeated, since their slots have little time left
   * @returns id of the request to repeat, whose reply was lost; null for none
   */
  getLostAskId(sentSinceMs: number): string | null {
    return this.#lostRequest !== null && this.#lostRequest.sentAtMs >= sentSinceMs
      ? this.#lostRequest.askId
      : null;
  }

  /**
   * @param reply - a coordinator's reply
   * @param nowMs - the time of the step
   * @param returnAtMs - when the slot is returned if it is not used
   * @returns whether the reply answers the pending request
   */
  recordReply(reply: GrantReplyMessage, nowMs: number, returnAtMs: number): boolean {
    const pending = this.#pendingRequest;
    if (pending === null || pending.askId !== reply.askId) {
      return false;
    }
    this.#pendingRequest = null;
    this.#nextRequestAtMs = nowMs + reply.retryAfterMs;
    const endsAtMs = pending.sentAtMs + reply.durationMs;
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
   * @param returnAtMs - when the slot is returned if it is not used again
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
   * Removes the free slots that are due for return.
   *
   * @param nowMs - slots with a return time up to this one are removed
   * @returns ids of the removed slots
   */
  removeIdle(nowMs: number): string[] {
    const idle = this.#slots.filter((slot) => !slot.isUsed && slot.returnAtMs <= nowMs);
    this.#slots = this.#slots.filter((slot) => !idle.includes(slot));
    return idle.map((slot) => slot.askId).filter((askId) => askId !== null);
  }

  /**
   * Removes slots that have ended and marks a request without a reply as lost.
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
   * @returns next time at which a slot ends or is due for return, or a request counts as lost;
   *   Infinity for never
   */
  getNextWakeMs(): number {
    const times = this.#slots
      .map((slot) => (slot.isUsed ? slot.endsAtMs : Math.min(slot.endsAtMs, slot.returnAtMs)));
    return Math.min(this.#pendingRequest?.timeoutAtMs ?? Infinity, ...times);
  }
}
