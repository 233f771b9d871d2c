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

/** A host that takes part in the ledger. */
export interface CostMember {
  readonly hostId: HostId;
  readonly incarnationId: IncarnationId;
  /** `IP:port` of its peer listener. */
  readonly address: string;
}

/** Who writes which shard, and who holds copies for this host. Nothing but efficiency and the
 * last few hundred milliseconds of a host that dies rest on it. */
export interface CostDuties {
  readonly members: readonly CostMember[];
  /** By shard index; null or missing lets each host write for itself. */
  readonly ownerHostIds: readonly (HostId | null)[];
  /** Peer that holds this host's copies; null for none. */
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
 * Books what each attempt cost, once, by client account and stage, and keeps the sums of this
 * incarnation until they are durable. Sums only grow; copies of them may be repeated, reordered and
 * merged anywhere. While they are not durable a peer holds a copy, which it reports when this
 * incarnation is gone.
 */
export class CostLedger implements CostPort {
  readonly #context: CoreContext;

  readonly #options: CostOptions;

  readonly #reader: CostReader;

  readonly #writers = new Map<number, CostShardWriter>();

  /** What was booked for each attempt; the oldest go first. */
  readonly #bookedMicrosByAttempt = new Map<AttemptId, number>();

  readonly #sums = new Map<string, ShardedSum>();

  /** Sums that are not durable, with the sequence of their last growth. */
  readonly #unstored = new Map<string, number>();

  readonly #unansweredReports = new Map<number, UnansweredReport>();

  readonly #copies = new Map<IncarnationId, CostHoldMessage>();

  #duties = NO_DUTIES;

  #sequence = 0;

  #copiedSequence = 0;

  #nextFlushAtMs = 0;

  #nextCopyAtMs = 0;

  /**
   * @param context - identity, time, randomness and the way out
   * @param options - settings; start from `DEFAULT_COST_OPTIONS`
   */
  constructor(context: CoreContext, options: CostOptions) {
    this.#context = context;
    this.#options = options;
    this.#reader = new CostReader(context, options);
  }

  /**
   * Books an attempt. A repeated end is passed over; one that costs more than was booked before
   * (an attempt that timed out and was billed later) adds the difference.
   *
   * @param cost - what the attempt cost, late and cancelled ones included
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

  /** @returns sums that are not durable yet */
  get unstoredCount(): number {
    return this.#unstored.size;
  }

  /**
   * Reads the ledger of all incarnations, with this one's newest sums.
   *
   * @param onRecords - gets the records, or null when the platform does not answer
   */
  readAll(onRecords: CostRecordsListener): void {
    this.#reader.read(
      { incarnationId: this.#context.self.incarnationId, getRecords: () => this.getOwnRecords() },
      onRecords,
    );
  }

  /**
   * @param duties - who writes which shard and who holds copies
   */
  setDuties(duties: CostDuties): void {
    this.#duties = duties;
    const liveIncarnationIds = new Set(duties.members.map(({ incarnationId }) => incarnationId));
    this.#writers.forEach((writer) => writer.setLiveIncarnations(liveIncarnationIds));
  }

  /**
   * Reports what was held for a process that is gone.
   *
   * @param incarnationId - the process
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
   * @param fromHostId - the sender
   * @param message - a message from an authenticated peer
   * @returns whether the message was one of the ledger's
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
   * @param input - the answer to a platform call
   * @returns whether the call was one of the ledger's
   */
  handleKeyValueAnswer({ operationId, answer }: KeyValueAnsweredInput): boolean {
    return this.#reader.handleKeyValueAnswer(operationId, answer)
      || [...this.#writers.values()]
        .some((writer) => writer.handleKeyValueAnswer(operationId, answer));
  }

  /** Carries on whatever is due. */
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
    this.#sums.set(key, { record, shardIndex: existing?.shardIndex ?? this.#getShardIndex(record) });
    this.#sequence += 1;
    // The map stays in the order of growth.
    this.#unstored.delete(key);
    this.#unstored.set(key, this.#sequence);
  }

  #evictOldestAttempt(): void {
    const [oldestAttemptId] = this.#bookedMicrosByAttempt.keys();
    if (oldestAttemptId !== undefined && this.#bookedMicrosByAttempt.size > this.#options.maxTrackedAttempts) {
      this.#bookedMicrosByAttempt.delete(oldestAttemptId);
    }
  }

  #getShardIndex({ accountId }: Pick<CostRecord, 'accountId'>): number {
    const digest = createHash('sha256').update(accountId).digest('hex').slice(0, HASH_DIGITS);
    return Number.parseInt(digest, HEX_RADIX) % this.#options.shardCount;
  }

  #getWriter(shardIndex: number): CostShardWriter {
    const known = this.#writers.get(shardIndex);
    if (known !== undefined) {
      return known;
    }
    const writer = new CostShardWriter(this.#context, shardIndex, this.#options);
    writer.setLiveIncarnations(new Set(this.#duties.members.map(({ incarnationId }) => incarnationId)));
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
    const { copyHolderHostId: holderHostId, members } = this.#duties;
    const holder = members.find(({ hostId }) => hostId === holderHostId);
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
    const known = this.#copies.get(message.incarnationId);
    if (known !== undefined && known.sequence >= message.sequence) {
      return;
    }
    this.#copies.delete(message.incarnationId);
    this.#copies.set(message.incarnationId, message);
    const [oldestIncarnationId] = this.#copies.keys();
    if (oldestIncarnationId !== undefined && this.#copies.size > this.#options.maxCopiedIncarnations) {
      this.recordIncarnationGone(oldestIncarnationId);
    }
  }
}
