import type { IncarnationId } from '../lib/ids.ts';

/** Topic of a record. Topics are sent in the order of the priorities in `GOSSIP_TOPIC_RULES`. */
export const GOSSIP_TOPIC = {
  /** Fingerprints of quarantined requests, which are sent to no upstream. */
  quarantine: 'quarantine',
  /** Fingerprints of requests to which one upstream crash is attributed so far. */
  suspect: 'suspect',
  /** Cold-start state of an upstream. */
  coldState: 'coldState',
  /** Coarse load of an upstream. */
  load: 'load',
} as const;

/** Topic of a record. */
export type GossipTopic = typeof GOSSIP_TOPIC[keyof typeof GOSSIP_TOPIC];

/** Priority and scope of the records of a topic. */
export interface GossipTopicRule {
  /** Lower values are sent first when the byte budget is short. */
  readonly priority: number;
  /** Records of scope `failureDomain` are sent only within the publisher's failure domain. */
  readonly scope: 'fleet' | 'failureDomain';
}

/** Rules by topic; configuration and drains have their own messages, sent ahead of all topics. */
export const GOSSIP_TOPIC_RULES: Readonly<Record<GossipTopic, GossipTopicRule>> = {
  quarantine: { priority: 0, scope: 'fleet' },
  suspect: { priority: 1, scope: 'fleet' },
  coldState: { priority: 2, scope: 'fleet' },
  load: { priority: 3, scope: 'failureDomain' },
};

/**
 * A small versioned record that every host of its scope should know. The higher version wins; at
 * equal versions the greater origin wins, so that all hosts converge on the same record.
 */
export interface GossipRecord {
  readonly topic: GossipTopic;
  /** Subject of the record within the topic, such as an upstream's id or a fingerprint. */
  readonly key: string;
  readonly version: number;
  /** Incarnation of the host that published the record. */
  readonly origin: IncarnationId;
  /** Value as text; null when the publisher has withdrawn it. */
  readonly value: string | null;
  /** Remaining lifetime of the record, counted by the receiver from its arrival. */
  readonly remainingMs: number;
}
