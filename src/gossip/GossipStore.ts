import type { GossipRecord, GossipTopic } from './GossipRecord.ts';

/** Interface of gossip for other managers; `GossipManager` implements it. */
export interface GossipStore {
  /**
   * Publishes a record with a version above every known one for the key.
   *
   * @param topic - topic of the record
   * @param key - identifies the subject within the topic
   * @param value - the value; null withdraws the earlier one
   * @param lifetimeMs - how long the record is valid
   * @returns the record as it is sent to peers
   */
  publish(topic: GossipTopic, key: string, value: string | null, lifetimeMs: number): GossipRecord;
  /**
   * @param topic - topic of the record
   * @param key - identifies the subject within the topic
   * @returns the value; null when it is unknown, withdrawn or expired
   */
  getValue(topic: GossipTopic, key: string): string | null;
  /**
   * Calls the listener for each record from a peer that is newer than the known one.
   *
   * @param topic - the topic to subscribe to
   * @param listener - called within the step
   * @returns a function that ends the subscription
   */
  subscribe(topic: GossipTopic, listener: (record: GossipRecord) => void): () => void;
}
