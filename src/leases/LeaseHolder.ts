import { Value } from '@sinclair/typebox/value';
import type { CoreContext } from '../core/CoreContext.ts';
import type { KeyValueAnsweredInput } from '../core/CoreInput.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import { toId, type OperationId } from '../lib/ids.ts';
import {
  KEY_VALUE_CLASS, type KeyValueAnswer, type KeyValueCall,
} from '../platform/KeyValueCall.ts';
import { DEFAULT_LEASE_OPTIONS, type LeaseOptions } from './LeaseOptions.ts';
import { leaseRecordSchema, type LeaseRecord } from './LeaseRecord.ts';

/** The lease while this host holds it. */
export interface HeldLease {
  readonly epoch: number;
  /** Monotonic time at which this host took the lease over. */
  readonly sinceMs: number;
  /** Monotonic time until which no other host can hold it. */
  readonly untilMs: number;
}

interface ObservedLease {
  readonly version: number;
  readonly record: LeaseRecord | null;
  /** When this host first saw that version; the holder's time can't have started later. */
  readonly observedAtMs: number;
}

interface PendingCall {
  readonly operationId: OperationId;
  readonly sentAtMs: number;
  /** What a swap writes; null for a read. */
  readonly written: LeaseRecord | null;
}

function parseRecord(value: string): LeaseRecord | null {
  try {
    const record: unknown = JSON.parse(value);
    return Value.Check(leaseRecordSchema, record) ? record : null;
  } catch {
    return null;
  }
}

/**
 * Holds one lease in the platform's key-value service by compare-and-swap, without any common
 * clock. A holder counts its time from when it *sent* a renewal that took effect, less the drift
 * margin; another host takes over only after it has itself watched one unchanged version for the
 * whole time. A process that was paused finds its lease lapsed before it does anything, since
 * {@link getHeld} compares with the time of the step.
 *
 * ```ts
 * const lease = new LeaseHolder(context, 'leases/domain-a');
 * lease.setIsWanted(true);
 * lease.handleKeyValueAnswer(input);   // each keyValueAnswered; true when it was the lease's own
 * lease.tick();                        // at getNextWakeMs() or later
 * if (lease.getHeld() !== null) { ... }
 * ```
 */
export class LeaseHolder {
  readonly #context: CoreContext;

  readonly #key: string;

  readonly #options: LeaseOptions;

  #isWanted = false;

  #observed: ObservedLease | null = null;

  #held: HeldLease | null = null;

  #pending: PendingCall | null = null;

  #nextCallAtMs = 0;

  /**
   * @param context - time, randomness and the way out
   * @param key - the lease's key in the key-value service
   * @param options - what differs from the defaults
   */
  constructor(context: CoreContext, key: string, options: Partial<LeaseOptions> = {}) {
    this.#context = context;
    this.#key = key;
    this.#options = { ...DEFAULT_LEASE_OPTIONS, ...options };
  }

  /**
   * Says whether this host should hold the lease. One that is no longer wanted is released.
   *
   * @param isWanted - whether to take and keep it
   */
  setIsWanted(isWanted: boolean): void {
    if (this.#isWanted !== isWanted) {
      this.#isWanted = isWanted;
      this.#nextCallAtMs = this.#context.getNowMs();
    }
  }

  /**
   * @returns the lease; null when this host does not hold it at the time of the step
   */
  getHeld(): HeldLease | null {
    const held = this.#held;
    return held !== null && this.#context.getNowMs() < held.untilMs ? held : null;
  }

  /** Sends the call that is due. */
  tick(): void {
    const nowMs = this.#context.getNowMs();
    const { callTimeoutMs } = this.#options;
    if (this.#pending !== null && nowMs >= this.#pending.sentAtMs + callTimeoutMs) {
      // The answer is lost: only a read tells whether a swap took effect.
      this.#pending = null;
      this.#readAfterDelay();
    }
    if (this.#pending === null && nowMs >= this.#nextCallAtMs) {
      this.#sendDueCall();
    }
  }

  /**
   * @returns when the next tick is due; Infinity for never
   */
  getNextWakeMs(): number {
    if (this.#pending !== null) {
      return this.#pending.sentAtMs + this.#options.callTimeoutMs;
    }
    return this.#isIdle() ? Infinity : this.#nextCallAtMs;
  }

  /**
   * Takes the answer to one of this lease's calls.
   *
   * @param input - an answer of the platform
   * @returns whether the call was this lease's
   */
  handleKeyValueAnswer({ operationId, answer }: KeyValueAnsweredInput): boolean {
    const pending = this.#pending;
    if (pending === null || pending.operationId !== operationId) {
      return false;
    }
    this.#pending = null;
    this.#applyAnswer(pending, answer);
    return true;
  }

  #isIdle(): boolean {
    return !this.#isWanted && this.#held === null;
  }

  #sendDueCall(): void {
    if (this.#isIdle()) {
      return;
    }
    if (this.#observed === null) {
      this.#send({ kind: 'get', key: this.#key }, null);
      return;
    }
    const next = this.#createNextRecord(this.#observed);
    if (next === null) {
      this.#send({ kind: 'get', key: this.#key }, null);
      return;
    }
    this.#send({
      kind: 'compareAndSwap',
      key: this.#key,
      expectedVersion: this.#observed.version,
      value: JSON.stringify(next),
    }, next);
  }

  #createNextRecord(seen: ObservedLease): LeaseRecord | null {
    const { hostId, incarnationId } = this.#context.self;
    const base = { hostId, incarnationId, ttlMs: this.#options.ttlMs };
    const { record } = seen;
    if (record !== null && this.#isOwn(record) && this.#held !== null) {
      const renewalCount = record.renewalCount + 1;
      return {
        ...base, epoch: record.epoch, renewalCount, isReleased: !this.#isWanted,
      };
    }
    if (!this.#isWanted || !this.#isFree(seen)) {
      return null;
    }
    return {
      ...base, epoch: (record?.epoch ?? 0) + 1, renewalCount: 0, isReleased: false,
    };
  }

  #isOwn(record: LeaseRecord): boolean {
    return record.incarnationId === this.#context.self.incarnationId && !record.isReleased;
  }

  #isFree({ record, observedAtMs: seenAtMs }: ObservedLease): boolean {
    if (record === null || record.isReleased) {
      return true;
    }
    const waitedMs = this.#context.getNowMs() - seenAtMs;
    return waitedMs >= record.ttlMs + this.#options.driftMarginMs;
  }

  #send(call: KeyValueCall, written: LeaseRecord | null): void {
    const operationId = toId<OperationId>(this.#context.random.getHexId());
    this.#pending = { operationId, sentAtMs: this.#context.getNowMs(), written };
    this.#context.emit({
      kind: 'callKeyValue', operationId, callClass: KEY_VALUE_CLASS.lease, call,
    });
  }

  #applyAnswer(pending: PendingCall, answer: KeyValueAnswer): void {
    switch (answer.kind) {
      case 'swapped':
        this.#applySwap(pending, answer.version);
        return;
      case 'value':
      case 'conflict':
        this.#observe(answer.version, answer.value === '' ? null : parseRecord(answer.value));
        this.#scheduleNext();
        return;
      case 'missing':
        this.#observe(0, null);
        this.#scheduleNext();
        return;
      case 'unavailable':
        this.#nextCallAtMs = this.#getRetryAtMs();
        return;
      case 'unknown':
        this.#readAfterDelay();
        return;
      default:
        throw exhaustiveSwitchError(answer);
    }
  }

  #applySwap({ sentAtMs, written }: PendingCall, version: number): void {
    this.#observed = { version, record: written, observedAtMs: sentAtMs };
    if (written === null || written.isReleased) {
      this.#held = null;
    } else {
      const { ttlMs, driftMarginMs } = this.#options;
      const isSame = this.#held?.epoch === written.epoch;
      this.#held = {
        epoch: written.epoch,
        sinceMs: isSame ? this.#held?.sinceMs ?? sentAtMs : this.#context.getNowMs(),
        untilMs: sentAtMs + ttlMs - driftMarginMs,
      };
    }
    this.#scheduleNext();
  }

  #observe(version: number, record: LeaseRecord | null): void {
    const isNews = this.#observed === null || this.#observed.version !== version;
    if (isNews) {
      this.#observed = { version, record, observedAtMs: this.#context.getNowMs() };
    }
    if (record === null || !this.#isOwn(record)) {
      this.#held = null;
    }
  }

  #scheduleNext(): void {
    const nowMs = this.#context.getNowMs();
    const { renewPeriodMs } = this.#options;
    const seen = this.#observed;
    if (seen !== null && this.#held === null && this.#isFree(seen)) {
      this.#nextCallAtMs = nowMs;
      return;
    }
    this.#nextCallAtMs = nowMs + renewPeriodMs;
  }

  #readAfterDelay(): void {
    this.#observed = null;
    this.#nextCallAtMs = this.#getRetryAtMs();
  }

  #getRetryAtMs(): number {
    const { retryDelayMs } = this.#options;
    return this.#context.getNowMs() + retryDelayMs * (1 + this.#context.random.getFraction());
  }
}
