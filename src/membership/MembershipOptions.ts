/** Settings of the membership; equal on all hosts of a fleet. */
export interface MembershipOptions {
  /** Time between two rounds of heartbeats. */
  readonly periodMs: number;
  /** Members of the own failure domain that are sent a heartbeat in each round. */
  readonly fanout: number;
  /** Hosts of each failure domain that hold links to each other domain. */
  readonly linksPerDomain: number;
  /** Rounds between two heartbeats over a link; links cross slower networks. */
  readonly linkEveryRounds: number;
  /** Time after which an unanswered heartbeat counts as missed. */
  readonly answerTimeoutMs: number;
  /** Consecutive missed heartbeats after which a member is suspected. */
  readonly missedAnswerLimit: number;
  /** Suspected members that are sent an additional heartbeat in each round. */
  readonly suspectFanout: number;
  /** Time in which a suspected member can refute the suspicion before it counts as dead. */
  readonly suspicionMs: number;
  /** Most member records in one heartbeat or answer. */
  readonly maxPiggyback: number;
  /** Most configuration versions of other hosts in one heartbeat or answer. */
  readonly maxVersions: number;
  /** Buckets of the digest by which two hosts find the differences of their views. */
  readonly digestBuckets: number;
  /** Members, besides the links, that are informed of a newer configuration at once. */
  readonly announceFanout: number;
  /** Rounds between two heartbeats to a dead member, which merge views after a partition. */
  readonly deadEveryRounds: number;
  /** Factor of the logarithm of the fleet's size; the product is how often a change is sent. */
  readonly retransmitFactor: number;
  /** How long a dead member's record is kept, so that a late message does not revive it. */
  readonly deadRetentionMs: number;
  /** Age up to which a process assumes that another start with its host id is an earlier one. */
  readonly newProcessMs: number;
  /** Delay of a tick above which the process counts as paused. */
  readonly pauseThresholdMs: number;
}

/** Defaults of `MembershipOptions`. */
export const DEFAULT_MEMBERSHIP_OPTIONS: MembershipOptions = {
  periodMs: 1000,
  fanout: 2,
  linksPerDomain: 2,
  linkEveryRounds: 2,
  answerTimeoutMs: 400,
  missedAnswerLimit: 2,
  suspectFanout: 2,
  suspicionMs: 3000,
  maxPiggyback: 6,
  maxVersions: 8,
  digestBuckets: 16,
  announceFanout: 3,
  deadEveryRounds: 4,
  retransmitFactor: 3,
  deadRetentionMs: 600_000,
  newProcessMs: 60_000,
  pauseThresholdMs: 1500,
};
