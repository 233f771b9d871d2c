/** Times and sizes of the membership; equal on all hosts of a fleet. */
export interface MembershipOptions {
  /** Time between two rounds of heartbeats. */
  readonly periodMs: number;
  /** Members of the own failure domain that get a heartbeat in each round. */
  readonly fanout: number;
  /** Hosts of each failure domain that hold links to each other domain. */
  readonly linksPerDomain: number;
  /** Rounds between two heartbeats over a link; links cross slower networks. */
  readonly linkEveryRounds: number;
  /** Time to wait for the answer to a heartbeat. */
  readonly answerTimeoutMs: number;
  /** Heartbeats without an answer, one after the other, until a member is suspected. */
  readonly missedAnswerLimit: number;
  /** Suspected members that get a heartbeat in each round beside the others. */
  readonly suspectFanout: number;
  /** Time in which a suspected member can object before it counts as dead. */
  readonly suspicionMs: number;
  /** Member records carried by one heartbeat or answer. */
  readonly maxPiggyback: number;
  /** Configuration versions of other hosts carried by one heartbeat or answer. */
  readonly maxVersions: number;
  /** Buckets of the digest by which two hosts find where their views differ. */
  readonly digestBuckets: number;
  /** Members that hear at once of a newer configuration, beside the links. */
  readonly announceFanout: number;
  /** Rounds between two heartbeats to a dead member, which heal a mended partition. */
  readonly deadEveryRounds: number;
  /** Times that a change is carried, multiplied by the logarithm of the fleet's size. */
  readonly retransmitFactor: number;
  /** How long a dead member is remembered, so that late news does not revive it. */
  readonly deadRetentionMs: number;
  /** Age up to which a process takes another start under its host's name for an earlier one. */
  readonly newProcessMs: number;
  /** A tick that comes later than this shows that the process was paused. */
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
