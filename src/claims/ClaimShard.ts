import type { CoreContext } from '../core/CoreContext.ts';
import { toId, type OperationId } from '../lib/ids.ts';
import {
  KEY_VALUE_CLASS, type KeyValueAnswer, type KeyValueCall,
} from '../platform/KeyValueCall.ts';
import type { ClaimBucket, ClaimEntry } from './ClaimBucket.ts';
import type { ClaimOperation, ClaimResult } from './ClaimOperation.ts';
import type { ClaimOptions } from './ClaimOptions.ts';
import { ClaimShardView } from './ClaimShardView.ts';
import { evaluateOperation } from './evaluateOperation.ts';

/** Receives the result of an operation, once. */
export type ClaimResultListener = (result: ClaimResult) => void;

interface PendingOperation {
  readonly operation: ClaimOperation;
  readonly submittedAtMs: number;
  readonly onResult: ClaimResultListener;
}

interface Batch {
  readonly sequence: number;
  readonly bucket: ClaimBucket;
  readonly pending: readonly PendingOperation[];
  /** Those of `pending` that no earlier write could have carried out. */
  readonly firstAttempts: readonly PendingOperation[];
}

type ShardCall =
  | { readonly kind: 'readHead' }
  | { readonly kind: 'writeHead' }
  | { readonly kind: 'readBucket'; readonly sequence: number }
  | { readonly kind: 'writeBucket'; readonly batch: Batch };

interface RunningCall {
  readonly operationId: OperationId;
  readonly sentAtMs: number;
  readonly call: ShardCall;
}

/**
 * One shard of the claim log as this host reads and writes it. Many operations share one
 * compare-and-swap, and one call is under way at a time. Every write is fenced by the version of
 * the bucket that it was decided on; so any number of hosts may write the same shard, and who owns
 * it matters only for how well operations are gathered.
 *
 * A write whose answer is lost is followed by a read. Either the operations' tokens are found, or
 * the version moved on and the write can't take effect any more, or the next write is made at the
 * same version, of which at most one takes effect.
 */
export class ClaimShard {
  readonly #context: CoreContext;

  readonly #options: ClaimOptions;

  readonly #view: ClaimShardView;

  #pending: PendingOperation[] = [];

  /** Operations of which a write was sent that may have taken effect. */
  readonly #uncertain = new Set<PendingOperation>();

  #running: RunningCall | null = null;

  #refreshSequence: number | null = null;

  #isBatchPartial = false;

  #lastWriteAtMs = -Infinity;

  #failureCount = 0;

  #backoffUntilMs = 0;

  /**
   * @param context - time, randomness and the way to the platform
   * @param shardIndex - which shard
   * @param options - settings of the claim log
   */
  constructor(context: CoreContext, shardIndex: number, options: ClaimOptions) {
    this.#context = context;
    this.#options = options;
    this.#view = new ClaimShardView(shardIndex, options);
  }

  /** @returns operations that wait */
  get pendingCount(): number {
    return this.#pending.length;
  }

  /**
   * Queues an operation. A claim gets its result within `claimTimeoutMs`; an outcome or a release
   * stays queued until it is stored.
   *
   * @param operation - the operation
   * @param onResult - gets the result, once, perhaps before this call returns
   */
  submit(operation: ClaimOperation, onResult: ClaimResultListener): void {
    const isRefused = this.#pending.length >= this.#options.maxPendingOperations
      || (operation.kind === 'claim' && this.#isOutage());
    if (isRefused) {
      onResult({ kind: 'unavailable', isKeyHistoryKnown: false, isUncertain: false });
      return;
    }
    const submittedAtMs = this.#context.getNowMs();
    this.#pending.push({ operation, submittedAtMs, onResult });
  }

  /** Ends claims that waited too long and makes the next platform call when one is due. */
  tick(): void {
    this.#expireClaims();
    this.#timeOutCall();
    this.#advance();
  }

  /** @returns when {@link tick} is needed next, in monotonic milliseconds */
  getNextWakeMs(): number {
    const claim = this.#pending.find(({ operation }) => operation.kind === 'claim');
    const claimMs = claim === undefined
      ? Infinity : claim.submittedAtMs + this.#options.claimTimeoutMs;
    if (this.#running !== null) {
      return Math.min(claimMs, this.#running.sentAtMs + this.#options.platformTimeoutMs);
    }
    return this.#pending.length === 0
      ? Infinity : Math.min(claimMs, Math.max(this.#backoffUntilMs, this.#getBatchDueMs()));
  }

  /**
   * @param operationId - which call was answered
   * @param answer - the platform's answer
   * @returns whether the call was this shard's
   */
  handleKeyValueAnswer(operationId: OperationId, answer: KeyValueAnswer): boolean {
    if (this.#running?.operationId !== operationId) {
      return false;
    }
    const running = this.#running;
    this.#running = null;
    this.#handleAnswer(running, answer);
    this.#advance();
    return true;
  }

  #isOutage(): boolean {
    return this.#failureCount >= this.#options.outageFailureCount
      && this.#context.getNowMs() < this.#backoffUntilMs;
  }

  #getBatchDueMs(): number {
    if (this.#refreshSequence !== null) {
      return 0;
    }
    const { batchDelayMs, outcomeDelayMs, minWriteIntervalMs } = this.#options;
    const claim = this.#pending.find(({ operation }) => operation.kind === 'claim');
    const other = this.#pending.find(({ operation }) => operation.kind !== 'claim');
    const dueMs = this.#isBatchPartial ? 0 : Math.min(
      (claim?.submittedAtMs ?? Infinity) + batchDelayMs,
      (other?.submittedAtMs ?? Infinity) + outcomeDelayMs,
    );
    return Math.max(dueMs, this.#lastWriteAtMs + minWriteIntervalMs);
  }

  #expireClaims(): void {
    const expiredBeforeMs = this.#context.getNowMs() - this.#options.claimTimeoutMs;
    const isExpired = (pending: PendingOperation): boolean => (
      pending.operation.kind === 'claim' && pending.submittedAtMs <= expiredBeforeMs
    );
    const expired = this.#pending.filter(isExpired);
    if (expired.length === 0) {
      return;
    }
    this.#pending = this.#pending.filter((pending) => !isExpired(pending));
    expired.forEach((pending) => this.#refuse(pending));
  }

  #refuse(pending: PendingOperation): void {
    const { operation, submittedAtMs, onResult } = pending;
    const isUncertain = this.#uncertain.delete(pending);
    const isKeyHistoryKnown = !isUncertain
      && this.#view.isUnusedSince(operation.key, submittedAtMs);
    onResult({ kind: 'unavailable', isKeyHistoryKnown, isUncertain });
  }

  #timeOutCall(): void {
    const running = this.#running;
    const deadlineMs = (running?.sentAtMs ?? Infinity) + this.#options.platformTimeoutMs;
    if (running !== null && this.#context.getNowMs() >= deadlineMs) {
      this.#running = null;
      this.#handleAnswer(running, { kind: 'unknown', detail: 'no answer in time' });
    }
  }

  #advance(): void {
    const isWaiting = this.#running !== null
      || this.#pending.length === 0
      || this.#context.getNowMs() < this.#backoffUntilMs;
    if (isWaiting) {
      return;
    }
    const call = this.#view.getNextCall();
    if (call !== null) {
      this.#send(call.kind === 'readBucket' ? call : { kind: call.kind }, call.call);
      return;
    }
    if (this.#refreshSequence !== null) {
      this.#readBucket(this.#refreshSequence);
      return;
    }
    if (this.#context.getNowMs() >= this.#getBatchDueMs()) {
      this.#writeBatch();
    }
  }

  #readBucket(sequence: number): void {
    this.#refreshSequence = null;
    this.#send({ kind: 'readBucket', sequence }, this.#view.createRead(sequence));
  }

  #writeBatch(): void {
    const batch = this.#createBatch();
    if (batch !== null) {
      batch.pending.forEach((pending) => this.#uncertain.add(pending));
      this.#lastWriteAtMs = this.#context.getNowMs();
      this.#send({ kind: 'writeBucket', batch }, this.#view.createWrite(batch.bucket));
      return;
    }
    if (this.#refreshSequence !== null) {
      this.#readBucket(this.#refreshSequence);
    }
  }

  /** Answers what needs no write; gathers the writes of the first bucket that needs one. */
  #createBatch(): Batch | null {
    const view = this.#view.getClaimView();
    const entries = new Map<string, ClaimEntry>();
    const written: PendingOperation[] = [];
    const resolved: { pending: PendingOperation; result: ClaimResult }[] = [];
    let sequence: number | null = null;
    const remaining = this.#getInWriteOrder().filter((pending) => {
      const { operation, submittedAtMs } = pending;
      if (entries.has(operation.key)) {
        return true;
      }
      const freshAfterMs = submittedAtMs - this.#options.freshnessMs;
      const evaluation = evaluateOperation(operation, { ...view, freshAfterMs });
      if (evaluation.kind === 'resolved') {
        resolved.push({ pending, result: evaluation.result });
        return false;
      }
      if (evaluation.kind === 'refresh') {
        this.#refreshSequence ??= evaluation.sequence;
        return true;
      }
      sequence ??= evaluation.sequence;
      const isFitting = entries.size < this.#view.getRemainingCapacity(sequence)
        || this.#view.hasEntry(sequence, operation.key);
      if (evaluation.sequence === sequence && isFitting) {
        entries.set(operation.key, evaluation.entry);
        written.push(pending);
      }
      return true;
    });
    this.#pending = remaining;
    this.#isBatchPartial = written.length < remaining.length;
    const bucket = sequence === null || (written.length === 0 && !this.#view.canSeal(sequence))
      ? null : this.#view.createBucket(sequence, entries, view.wallMs);
    if (bucket === null && remaining.length > 0 && this.#refreshSequence === null) {
      // Every value of the shard is in use: nothing changes until one is past the retention.
      this.#backoffUntilMs = this.#context.getNowMs() + this.#options.backoffMaxMs;
    }
    // Listeners run last: they may submit further operations.
    resolved.forEach(({ pending, result }) => this.#resolve(pending, result));
    const firstTried = written.filter((pending) => !this.#uncertain.has(pending));
    return bucket === null
      ? null : {
        sequence: bucket.sequence, bucket, pending: written, firstAttempts: firstTried,
      };
  }

  /** Claims choose the bucket of a write, because callers wait for them; unless others are old. */
  #getInWriteOrder(): PendingOperation[] {
    const overdueBeforeMs = this.#context.getNowMs() - this.#options.outcomeOverdueMs;
    const claims = this.#pending.filter(({ operation }) => operation.kind === 'claim');
    const others = this.#pending.filter(({ operation }) => operation.kind !== 'claim');
    const isOverdue = (others[0]?.submittedAtMs ?? Infinity) <= overdueBeforeMs;
    return isOverdue ? [...others, ...claims] : [...claims, ...others];
  }

  #send(call: ShardCall, keyValueCall: KeyValueCall): void {
    const operationId = toId<OperationId>(this.#context.random.getHexId());
    this.#running = { operationId, sentAtMs: this.#context.getNowMs(), call };
    this.#context.emit({
      kind: 'callKeyValue', operationId, callClass: KEY_VALUE_CLASS.claim, call: keyValueCall,
    });
  }

  #handleAnswer({ call, sentAtMs }: RunningCall, answer: KeyValueAnswer): void {
    if (answer.kind === 'unavailable') {
      this.#handleBatchNotWritten(call);
      this.#recordFailure();
      return;
    }
    if (answer.kind === 'unknown') {
      this.#recordFailure();
      this.#view.invalidate(call.kind === 'writeBucket' ? call.batch.sequence : null);
      return;
    }
    this.#failureCount = 0;
    if (call.kind === 'readHead' || call.kind === 'writeHead') {
      this.#view.handleHeadAnswer(answer);
      return;
    }
    const sequence = call.kind === 'readBucket' ? call.sequence : call.batch.sequence;
    const bucket = call.kind === 'readBucket' ? null : call.batch.bucket;
    this.#view.handleBucketAnswer(sequence, bucket, answer, sentAtMs);
    if (answer.kind === 'conflict') {
      this.#handleBatchNotWritten(call);
    }
    if (answer.kind === 'swapped') {
      this.#finishBatch(call);
    }
  }

  /** The write certainly had no effect; earlier writes of the same operations still may. */
  #handleBatchNotWritten(call: ShardCall): void {
    if (call.kind === 'writeBucket') {
      call.batch.firstAttempts.forEach((pending) => this.#uncertain.delete(pending));
      this.#isBatchPartial = true;
    }
  }

  #finishBatch(call: ShardCall): void {
    if (call.kind !== 'writeBucket') {
      return;
    }
    const written = new Set(call.batch.pending);
    const finished = this.#pending.filter((pending) => written.has(pending));
    this.#pending = this.#pending.filter((pending) => !written.has(pending));
    finished.forEach((pending) => {
      const isClaim = pending.operation.kind === 'claim';
      this.#resolve(pending, { kind: isClaim ? 'granted' : 'stored' });
    });
  }

  #resolve(pending: PendingOperation, result: ClaimResult): void {
    this.#uncertain.delete(pending);
    pending.onResult(result);
  }

  #recordFailure(): void {
    const { backoffMinMs, backoffMaxMs, outageFailureCount } = this.#options;
    const ceilingMs = Math.min(backoffMaxMs, backoffMinMs * 2 ** this.#failureCount);
    this.#failureCount += 1;
    // Full jitter, so that hosts don't come back together.
    const waitMs = backoffMinMs + ceilingMs * this.#context.random.getFraction();
    this.#backoffUntilMs = this.#context.getNowMs() + waitMs;
    if (this.#failureCount < outageFailureCount) {
      return;
    }
    const claims = this.#pending.filter(({ operation }) => operation.kind === 'claim');
    this.#pending = this.#pending.filter(({ operation }) => operation.kind !== 'claim');
    claims.forEach((pending) => this.#refuse(pending));
  }
}
