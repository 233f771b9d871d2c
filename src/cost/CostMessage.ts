import type { IncarnationId } from '../lib/ids.ts';
import type { CostRecord } from './CostRecord.ts';

/** Asks the owner of a cost shard to write sums together with those of other hosts. */
export interface CostReportMessage {
  readonly kind: 'costReport';
  readonly shardIndex: number;
  /** `IP:port` to reply to. */
  readonly replyAddress: string;
  readonly incarnationId: IncarnationId;
  /** Sums that are not known to be durable. */
  readonly records: readonly CostRecord[];
  /** Comes back in the answer. */
  readonly sequence: number;
}

/** The sums of a report are durable. */
export interface CostStoredMessage {
  readonly kind: 'costStored';
  readonly shardIndex: number;
  readonly sequence: number;
}

/** Gives a peer a copy of all sums that are not durable yet; it replaces the copy before. */
export interface CostHoldMessage {
  readonly kind: 'costHold';
  readonly incarnationId: IncarnationId;
  /** Grows; an older copy that arrives late is passed over. */
  readonly sequence: number;
  readonly records: readonly CostRecord[];
}

/** Peer messages of the cost ledger. */
export type CostMessage = CostReportMessage | CostStoredMessage | CostHoldMessage;
