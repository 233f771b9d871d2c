import type { IncarnationId } from '../lib/ids.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';

/** A member as it is now, after its state, address or process start changed. */
export interface MemberChangedEvent {
  readonly kind: 'memberChanged';
  readonly member: MemberRecord;
}

/** A peer has a higher configuration version in force than this host. */
export interface NewerConfigurationSeenEvent {
  readonly kind: 'newerConfigurationSeen';
  readonly member: MemberRecord;
}

/** This host was paused and has heard of its peers again. */
export interface ViewRefreshedEvent {
  readonly kind: 'viewRefreshed';
}

/** A later process start has this host's name: this one was taken for dead and must stop. */
export interface SelfReplacedEvent {
  readonly kind: 'selfReplaced';
  readonly incarnationId: IncarnationId;
}

/** What the membership tells its owner. */
export type MembershipEvent =
  | MemberChangedEvent | NewerConfigurationSeenEvent | ViewRefreshedEvent | SelfReplacedEvent;
