import type { ClaimMessage } from '../claims/ClaimMessage.ts';
import type { ConfigurationRecord } from '../configuration/records/ConfigurationRecord.ts';
import type { AnswerMessage } from '../resumption/AnswerMessage.ts';
import type { GossipRecord } from '../gossip/GossipRecord.ts';
import type { GrantMessage } from '../grants/GrantMessage.ts';
import type { CostMessage } from '../cost/CostMessage.ts';
import type { QuarantineMessage } from '../quarantine/QuarantineMessage.ts';
import type { FailureDomainId, HostId, IncarnationId } from '../lib/ids.ts';

/** Record of one member as known to the sender. */
export interface MemberRecord {
  readonly hostId: HostId;
  readonly incarnationId: IncarnationId;
  readonly failureDomainId: FailureDomainId;
  /** `IP:port` of the member's peer listener. */
  readonly peerAddress: string;
  readonly state: 'alive' | 'suspect' | 'leaving' | 'dead';
  /** Grows with each change that the member makes to its own record. */
  readonly generation: number;
  /** Configuration version in force at the member, as it reported. */
  readonly configurationVersion: number;
}

/** Periodic message that shows that its sender is alive, with a digest of its view. */
export interface HeartbeatMessage {
  readonly kind: 'heartbeat';
  readonly sequence: number;
  readonly self: MemberRecord;
  /** A bounded selection of other members, changed ones first. */
  readonly members: readonly MemberRecord[];
  readonly configurationVersion: number;
  /** Configuration versions in force by host, a bounded selection. */
  readonly versions: Readonly<Record<string, number>>;
  /** Hashes over the members that are not dead in the view of the sender, by bucket. */
  readonly viewDigest: readonly number[];
}

/** Carries a configuration that was accepted by the platform. */
export interface ConfigurationMessage {
  readonly kind: 'configuration';
  readonly configuration: ConfigurationRecord;
}

/** Queries the configuration after the receiver reported a higher version. */
export interface ConfigurationQueryMessage {
  readonly kind: 'configurationAsk';
  readonly knownVersion: number;
}

/** Answers a heartbeat, which shows that messages pass in both directions. */
export interface HeartbeatAnswerMessage {
  readonly kind: 'heartbeatAnswer';
  /** The sequence of the heartbeat that is answered. */
  readonly sequence: number;
  readonly self: MemberRecord;
  /** A bounded selection of other members, changed ones first. */
  readonly members: readonly MemberRecord[];
  /** Configuration versions in force by host, a bounded selection. */
  readonly versions: Readonly<Record<string, number>>;
  /** Hashes over the members that are not dead in the view of the sender, by bucket. */
  readonly viewDigest: readonly number[];
}

/** Pushes records that changed, or that the receiver's digest showed to be missing there. */
export interface GossipPushMessage {
  readonly kind: 'gossipPush';
  readonly records: readonly GossipRecord[];
}

/** Carries hashes of the sender's records by bucket; the receiver pushes differing buckets. */
export interface GossipDigestMessage {
  readonly kind: 'gossipDigest';
  /** One unsigned 32-bit hash for each bucket. */
  readonly buckets: readonly number[];
  /** True when the receiver should answer with its own digest. */
  readonly isAnswerWanted: boolean;
}

/** Message between entry hosts. */
export type PeerMessage =
  | HeartbeatMessage | HeartbeatAnswerMessage
  | ConfigurationMessage | ConfigurationQueryMessage
  | GossipPushMessage | GossipDigestMessage
  | AnswerMessage | ClaimMessage | GrantMessage | QuarantineMessage | CostMessage;
