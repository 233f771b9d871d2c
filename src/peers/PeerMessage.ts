import type { ClaimMessage } from '../claims/ClaimMessage.ts';
import type { ConfigurationRecord } from '../configuration/records/ConfigurationRecord.ts';
import type { AnswerMessage } from '../resumption/AnswerMessage.ts';
import type { GossipRecord } from '../gossip/GossipRecord.ts';
import type { GrantMessage } from '../grants/GrantMessage.ts';
import type { CostMessage } from '../cost/CostMessage.ts';
import type { QuarantineMessage } from '../quarantine/QuarantineMessage.ts';
import type { FailureDomainId, HostId, IncarnationId } from '../lib/ids.ts';

/** One member as its sender knows it. */
export interface MemberRecord {
  readonly hostId: HostId;
  readonly incarnationId: IncarnationId;
  readonly failureDomainId: FailureDomainId;
  /** `IP:port` of the member's peer listener. */
  readonly peerAddress: string;
  readonly state: 'alive' | 'suspect' | 'leaving' | 'dead';
  /** Grows with each statement the member makes about itself. */
  readonly generation: number;
  /** Configuration version that the member said is in force at it. */
  readonly configurationVersion: number;
}

/** Periodic sign of life with a digest of what the sender has. */
export interface HeartbeatMessage {
  readonly kind: 'heartbeat';
  readonly sequence: number;
  readonly self: MemberRecord;
  /** A bounded selection of other members, changed ones first. */
  readonly members: readonly MemberRecord[];
  readonly configurationVersion: number;
  /** Configuration versions in force by host, a bounded selection. */
  readonly versions: Readonly<Record<string, number>>;
  /** Hashes over the members that the sender takes for present, by bucket. */
  readonly viewDigest: readonly number[];
}

/** A configuration that was accepted by the platform. */
export interface ConfigurationMessage {
  readonly kind: 'configuration';
  readonly configuration: ConfigurationRecord;
}

/** Asks for the configuration when a digest showed a higher version. */
export interface ConfigurationQueryMessage {
  readonly kind: 'configurationAsk';
  readonly knownVersion: number;
}

/** Answers a heartbeat; shows that the way to the sender and back works. */
export interface HeartbeatAnswerMessage {
  readonly kind: 'heartbeatAnswer';
  /** The sequence of the heartbeat that is answered. */
  readonly sequence: number;
  readonly self: MemberRecord;
  /** A bounded selection of other members, changed ones first. */
  readonly members: readonly MemberRecord[];
  /** Configuration versions in force by host, a bounded selection. */
  readonly versions: Readonly<Record<string, number>>;
  /** Hashes over the members that the sender takes for present, by bucket. */
  readonly viewDigest: readonly number[];
}

/** Records that changed, or that a digest showed to be missing at the receiver. */
export interface GossipPushMessage {
  readonly kind: 'gossipPush';
  readonly records: readonly GossipRecord[];
}

/** Hashes over the sender's records by bucket; the receiver pushes the buckets that differ. */
export interface GossipDigestMessage {
  readonly kind: 'gossipDigest';
  /** One unsigned 32-bit hash for each bucket. */
  readonly buckets: readonly number[];
  /** True when the receiver should answer with its own digest. */
  readonly isAnswerWanted: boolean;
}

/** A message between entry hosts. */
export type PeerMessage =
  | HeartbeatMessage | HeartbeatAnswerMessage
  | ConfigurationMessage | ConfigurationQueryMessage
  | GossipPushMessage | GossipDigestMessage
  | AnswerMessage | ClaimMessage | GrantMessage | QuarantineMessage | CostMessage;
