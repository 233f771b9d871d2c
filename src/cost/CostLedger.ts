import { createHash } from 'node:crypto';
import type { CoreContext } from '../core/CoreContext.ts';
import type { KeyValueAnsweredInput } from '../core/CoreInput.ts';
import type { AttemptId, HostId, IncarnationId } from '../lib/ids.ts';
import type { PeerMessage } from '../peers/PeerMessage.ts';
import { CostReader, type CostRecordsListener } from './CostReader.ts';
import { getCostKey, type CostRecord } from './CostRecord.ts';
import type { AttemptCost, CostPort } from './CostPort.ts';
import type { CostHoldMessage } from './CostMessage.ts';
import type { CostOptions } from './CostOptions.ts';
import { CostShardWriter } from './CostShardWriter.ts';

/** A host whose ledger exchanges messages with those of other hosts. */
export interface CostMember {
  readonly hostId: HostId;
  readonly incarnationId: IncarnationId;
  /** `IP:port` of its peer listener. */
  readonly address: string;
}

/**
 * The owner of each shard and the holder of this host's copies. They affect only efficiency and the
 * costs that a host booked in the last few hundred milliseconds before it crashed.
 */
export interface CostDuties {
  readonly members: readonly CostMember[];
  /** Owner by shard index; null or missing makes each host write its own records. */
  readonly ownerHostIds: readonly (HostId | null)[];
  /** Peer that holds copies of this host's records; null for none. */
  readonly copyHolderHostId: HostId | null;
}

interface ShardedSum {
  readonly record: CostRecord;
  readonly shardIndex: number;
}

interface UnansweredReport {
  readonly sequence: number;
  readonly sentAtMs: number;
}

const NO_DUTIES: CostDuties = { members: [], ownerHostIds: [], copyHolderHostId: null };
const MAX_MESSAGE_RECORDS = 2000;
const HASH_DIGITS = 8;
const HEX_RADIX = 16;

/**
 * Ledger that books the cost of each attempt once, by client account and stage, and keeps the sums
 * of this incarnation until they are durable. Sums only grow, so copies of them can be repeated,
 * reordered and merged anywhere. A peer holds a copy of the sums that are not durable and writes it
 * when this incarnation has ended.
 */
export class CostLedger implements CostPort {
  readonly #context: CoreContext;

  readonly #options: CostOptions;

  readonly #reader: CostReader;

  readonly #writers = new Map<number, CostShardWriter>();

  /** Cost booked for each attempt, in order of booking; the oldest is evicted first. */
  readonly #bookedMicrosByAttempt = new Map<AttemptId, number>();

  readonly #sums = new Map<string, ShardedSum>();

  /** Keys of the sums that are not durable, with the sequence of their last growth. */
  readonly #unstored = new Map<string, number>();

  readonly #unansweredReports = new Map<number, UnansweredReport>();

  readonly #copies = new Map<IncarnationId, CostHoldMessage>();

  #duties = NO_DUTIES;

  #sequence = 0;

  #copiedSequence = 0;

  #nextFlushAtMs = 0;

  #nextCopyAtMs = 0;

  /**
   * @param context - provides identity, time and randomness, and receives outputs
   * @param options - options; `DEFAULT_COST_OPTIONS` has defaults for all but the wall clock
   */
  constructor(context: CoreContext, options: CostOptions) {
    this.#context = context;
    this.#options = options;
    this.#reader = new CostReader(context, options);
  }

  /**
   * Books the cost of an attempt. Booking the same cost again has no effect; a higher cost (an
   * attempt that timed out and was billed later) adds the difference.
   *
   * @param cost - cost of the attempt, which may also have ended late or been cancelled
   */
  book(cost: AttemptCost): void {
    const bookedMicros = this.#bookedMicrosByAttempt.get(cost.attemptId);
    const addedMicros = cost.costMicros - (bookedMicros ?? 0);
    if (bookedMicros !== undefined && addedMicros <= 0) {
      return;
    }
    this.#bookedMicrosByAttempt.set(cost.attemptId, cost.costMicros);
    this.#evictOldestAttempt();
    this.#addSum(cost, bookedMicros === undefined ? 1 : 0, addedMicros);
  }

  /** @returns the sums of this incarnation */
  getOwnRecords(): CostRecord[] {
    return [...this.#sums.values()].map(({ record }) => record);
  }

  /** @returns the number of sums that are not durable yet */
  get unstoredCount(): number {
    return this.#unstored.size;
  }

  /**
   * Reads the records of all incarnations, with this incarnation's newest sums.
   *
   * @param onRecords - called with the records, or with null when the platform does not answer
   */
  readAll(onRecords: CostRecordsListener): void {
    this.#reader.read(
      { incarnationId: this.#context.self.incarnationId, getRecords: () => this.getOwnRecords() },
      onRecords,
    );
  }

  /**
   * Sets the owners of the shards and the holder of copies.
   *
   * @param duties - replaces the duties set before
   */
  setDuties(duties: CostDuties): void {
    this.#duties = duties;
    const liveIncarnationIds = new Set(duties.members.map(({ incarnationId }) => incarnationId));
    this.#writers.forEach((writer) => writer.setLiveIncarnations(liveIncarnationIds));
  }

  /**
   * Writes the copy held for an incarnation that has ended.
   *
   * @param incarnationId - the ended incarnation
   */
  recordIncarnationGone(incarnationId: IncarnationId): void {
    const copy = this.#copies.get(incarnationId);
    this.#copies.delete(incarnationId);
    if (copy === undefined) {
      return;
    }
    const shards = new Map<number, CostRecord[]>();
    copy.records.forEach((record) => {
      const shardIndex = this.#getShardIndex(record);
      shards.set(shardIndex, [...shards.get(shardIndex) ?? [], record]);
    });
    shards.forEach((records, shardIndex) => {
      this.#getWriter(shardIndex).submit(incarnationId, records, () => {});
    });
  }

  /**
   * Handles the peer messages of the ledger.
   *
   * @param fromHostId - the sender
   * @param message - a message from an authenticated peer
   * @returns whether the message belongs to the ledger
   */
  handlePeerMessage(fromHostId: HostId, message: PeerMessage): boolean {
    switch (message.kind) {
      case 'costReport': {
        const { shardIndex, sequence, replyAddress } = message;
        this.#getWriter(shardIndex).submit(message.incarnationId, message.records, () => {
          this.#context.emit({
            kind: 'sendPeerMessage',
            toHostId: fromHostId,
            address: replyAddress,
            message: { kind: 'costStored', shardIndex, sequence },
          });
        });
        return true;
      }
      case 'costStored':
        this.#markStored(message.shardIndex, message.sequence);
        return true;
      case 'costHold':
        this.#storeCopy(message);
        return true;
      default:
        return false;
    }
  }

  /**
   * Handles an answer of the platform.
   *
   * @param input - the answer to a platform call
   * @returns whether the ledger made the call
   */
  handleKeyValueAnswer({ operationId, answer }: KeyValueAnsweredInput): boolean {
    return this.#reader.handleKeyValueAnswer(operationId, answer)
      || [...this.#writers.values()]
        .some((writer) => writer.handleKeyValueAnswer(operationId, answer));
  }

  /** Reports, copies, reads and writes the records that are due. */
  tick(): void {
    const nowMs = this.#context.getNowMs();
    if (this.#unstored.size > 0 && nowMs >= this.#nextFlushAtMs) {
      this.#nextFlushAtMs = nowMs + this.#options.flushIntervalMs;
      this.#flush();
    }
    if (this.#copiedSequence !== this.#sequence && nowMs >= this.#nextCopyAtMs) {
      this.#nextCopyAtMs = nowMs + this.#options.copyIntervalMs;
      this.#sendCopy();
    }
    this.#reader.tick();
    this.#writers.forEach((writer) => writer.tick());
  }

  /** @returns when {@link tick} is needed next, in monotonic milliseconds */
  getNextWakeMs(): number {
    const writersMs = [...this.#writers.values()].map((writer) => writer.getNextWakeMs());
    return Math.min(
      this.#unstored.size > 0 ? this.#nextFlushAtMs : Infinity,
      this.#copiedSequence === this.#sequence ? Infinity : this.#nextCopyAtMs,
      this.#reader.getNextWakeMs(),
      ...writersMs,
    );
  }

  #addSum(cost: AttemptCost, addedAttempts: number, addedMicros: number): void {
    const key = getCostKey(cost);
    const { accountId, pipelineId, stageId } = cost;
    const existing = this.#sums.get(key);
    const record: CostRecord = {
      accountId,
      pipelineId,
      stageId,
      attemptCount: (existing?.record.attemptCount ?? 0) + addedAttempts,
      costMicros: (existing?.record.costMicros ?? 0) + addedMicros,
    };
    this.#sums.set(key, {
      record, shardIndex: existing?.shardIndex ?? this.#getShardIndex(record),
    });
    this.#sequence += 1;
    // Reinserting the key keeps the map in order of last growth.
    this.#unstored.delete(key);
    this.#unstored.set(key, this.#sequence);
  }

  #evictOldestAttempt(): void {
    const [oldestAttemptId] = this.#bookedMicrosByAttempt.keys();
    if (oldestAttemptId !== undefined
      && this.#bookedMicrosByAttempt.size > this.#options.maxTrackedAttempts) {
      this.#bookedMicrosByAttempt.delete(oldestAttemptId);
    }
  }

  #getShardIndex({ accountId }: Pick<CostRecord, 'accountId'>): number {
    const digest = createHash('sha256').update(accountId).digest('hex').slice(0, HASH_DIGITS);
    return Number.parseInt(digest, HEX_RADIX) % this.#options.shardCount;
  }

  #getWriter(shardIndex: number): CostShardWriter {
    const existing = this.#writers.get(shardIndex);
    if (existing !== undefined) {
      return existing;
    }
    const writer = new CostShardWriter(this.#context, shardIndex, this.#options);
    writer.setLiveIncarnations(
      new Set(this.#duties.members.map(({ incarnationId }) => incarnationId)),
    );
    this.#writers.set(shardIndex, writer);
    return writer;
  }

  #flush(): void {
    const shards = new Map<number, CostRecord[]>();
    const oldest = [...this.#unstored].slice(0, MAX_MESSAGE_RECORDS);
    const sequence = oldest.at(-1)?.[1] ?? 0;
    oldest.forEach(([key]) => {
      const sum = this.#sums.get(key);
      if (sum !== undefined) {
        shards.set(sum.shardIndex, [...shards.get(sum.shardIndex) ?? [], sum.record]);
      }
    });
    shards.forEach((records, shardIndex) => this.#storeOrReport(shardIndex, records, sequence));
  }

  #storeOrReport(shardIndex: number, records: readonly CostRecord[], sequence: number): void {
    const nowMs = this.#context.getNowMs();
    const { incarnationId, peerAddress, hostId } = this.#context.self;
    const unanswered = this.#unansweredReports.get(shardIndex);
    const isOwnerSilent = unanswered !== undefined
      && nowMs >= unanswered.sentAtMs + this.#options.reportTimeoutMs;
    const ownerHostId = this.#duties.ownerHostIds[shardIndex] ?? null;
    const owner = this.#duties.members.find((member) => member.hostId === ownerHostId);
    if (owner === undefined || owner.hostId === hostId || isOwnerSilent) {
      const onStored = (): void => this.#markStored(shardIndex, sequence);
      this.#getWriter(shardIndex).submit(incarnationId, records, onStored);
      return;
    }
    this.#unansweredReports.set(shardIndex, { sequence, sentAtMs: unanswered?.sentAtMs ?? nowMs });
    this.#context.emit({
      kind: 'sendPeerMessage',
      toHostId: owner.hostId,
      address: owner.address,
      message: {
        kind: 'costReport', shardIndex, replyAddress: peerAddress, incarnationId, records, sequence,
      },
    });
  }

  #markStored(shardIndex: number, sequence: number): void {
    this.#unansweredReports.delete(shardIndex);
    [...this.#unstored]
      .filter(([key, grownAtSequence]) => (
        grownAtSequence <= sequence && this.#sums.get(key)?.shardIndex === shardIndex
      ))
      .forEach(([key]) => this.#unstored.delete(key));
  }

  #sendCopy(): void {
    this.#copiedSequence = this.#sequence;
    const { copyHolderHostId, members } = this.#duties;
    const holder = members.find(({ hostId }) => hostId === copyHolderHostId);
    if (holder === undefined) {
      return;
    }
    const records = [...this.#unstored.keys()].slice(0, MAX_MESSAGE_RECORDS)
      .flatMap((key) => this.#sums.get(key)?.record ?? []);
    const { incarnationId } = this.#context.self;
    this.#context.emit({
      kind: 'sendPeerMessage',
      toHostId: holder.hostId,
      address: holder.address,
      message: {
        kind: 'costHold', incarnationId, sequence: this.#sequence, records,
      },
    });
  }

  #storeCopy(message: CostHoldMessage): void {
    const existing = this.#copies.get(message.incarnationId);
    if (existing !== undefined && existing.sequence >= message.sequence) {
      return;
    }
    this.#copies.delete(message.incarnationId);
    this.#copies.set(message.incarnationId, message);
    const [oldestIncarnationId] = this.#copies.keys();
    if (oldestIncarnationId !== undefined
      && this.#copies.size > this.#options.maxCopiedIncarnations) {
      this.recordIncarnationGone(oldestIncarnationId);
    }
  }
}
