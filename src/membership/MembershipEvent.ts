import type { IncarnationId } from '../lib/ids.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';

/** A member's state, address or process start changed; carries the new record. */
export interface MemberChangedEvent {
  readonly kind: 'memberChanged';
  readonly member: MemberRecord;
}

/** A peer has a higher configuration version in force than this host. */
export interface NewerConfigurationSeenEvent {
  readonly kind: 'newerConfigurationSeen';
  readonly member: MemberRecord;
}

/** This host was paused, and its view of the fleet is current again. */
export interface ViewRefreshedEvent {
  readonly kind: 'viewRefreshed';
}

/** A later process start has this host's id: this process was declared dead and must stop. */
export interface SelfReplacedEvent {
  readonly kind: 'selfReplaced';
  readonly incarnationId: IncarnationId;
}

/** Event of the membership. */
export type MembershipEvent =
  | MemberChangedEvent | NewerConfigurationSeenEvent | ViewRefreshedEvent | SelfReplacedEvent;
