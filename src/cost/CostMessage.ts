import type { IncarnationId } from '../lib/ids.ts';
import type { CostRecord } from './CostRecord.ts';

/** Requests the owner of a cost shard to write sums together with those of other hosts. */
export interface CostReportMessage {
  readonly kind: 'costReport';
  readonly shardIndex: number;
  /** `IP:port` to which the owner replies. */
  readonly replyAddress: string;
  readonly incarnationId: IncarnationId;
  /** Sums that are not known to be durable. */
  readonly records: readonly CostRecord[];
  /** Returned in the reply. */
  readonly sequence: number;
}

/** Confirms that the sums of a report are durable. */
export interface CostStoredMessage {
  readonly kind: 'costStored';
  readonly shardIndex: number;
  readonly sequence: number;
}

/** Sends a peer a copy of the sums that are not durable yet; it replaces the previous copy. */
export interface CostHoldMessage {
  readonly kind: 'costHold';
  readonly incarnationId: IncarnationId;
  /** Grows with each copy; a copy with an older sequence is ignored. */
  readonly sequence: number;
  readonly records: readonly CostRecord[];
}

/** Peer messages of the cost ledger. */
export type CostMessage = CostReportMessage | CostStoredMessage | CostHoldMessage;
