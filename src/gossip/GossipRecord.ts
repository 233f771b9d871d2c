import type { IncarnationId } from '../lib/ids.ts';

/** What a record is about. Topics are sent in the order of `GOSSIP_TOPIC_RULES`. */
export const GOSSIP_TOPIC = {
  /** Fingerprints of requests that no upstream may be given. */
  quarantine: 'quarantine',
  /** Fingerprints that one upstream's death is attributed to so far. */
  suspect: 'suspect',
  /** Cold-start state of an upstream. */
  coldState: 'coldState',
  /** Coarse load of an upstream. */
  load: 'load',
} as const;

/** What a record is about. */
export type GossipTopic = typeof GOSSIP_TOPIC[keyof typeof GOSSIP_TOPIC];

/** How the records of a topic travel. */
export interface GossipTopicRule {
  /** Lower goes first when the byte budget is short. */
  readonly priority: number;
  /** Records of scope `failureDomain` stay among the hosts of the publisher's domain. */
  readonly scope: 'fleet' | 'failureDomain';
}

/** The rules by topic; configuration and drains travel ahead of all of them, as own messages. */
export const GOSSIP_TOPIC_RULES: Readonly<Record<GossipTopic, GossipTopicRule>> = {
  quarantine: { priority: 0, scope: 'fleet' },
  suspect: { priority: 1, scope: 'fleet' },
  coldState: { priority: 2, scope: 'fleet' },
  load: { priority: 3, scope: 'failureDomain' },
};

/**
 * A small versioned fact that every host of its scope should know. The higher version wins; at
 * equal versions the greater origin wins, so that all hosts settle on the same record.
 */
export interface GossipRecord {
  readonly topic: GossipTopic;
  /** Names the thing within the topic, such as an upstream's id or a fingerprint. */
  readonly key: string;
  readonly version: number;
  /** The process start that published the record. */
  readonly origin: IncarnationId;
  /** What is known, as text; null states that nothing holds any more. */
  readonly value: string | null;
  /** Time for which the record still holds, counted by the receiver from its arrival. */
  readonly remainingMs: number;
}
