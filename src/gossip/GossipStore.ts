import type { GossipRecord, GossipTopic } from './GossipRecord.ts';

/** What other managers need of the record distribution; `DigestExchange` carries it out. */
export interface GossipStore {
  /**
   * Publishes a fact under a version above every known one for the key.
   *
   * @param topic - what the fact is about
   * @param key - names the thing within the topic
   * @param value - what is known; null withdraws the fact
   * @param lifetimeMs - how long it holds
   * @returns the record as it will travel
   */
  publish(topic: GossipTopic, key: string, value: string | null, lifetimeMs: number): GossipRecord;
  /**
   * @param topic - what the fact is about
   * @param key - names the thing within the topic
   * @returns the value; null when nothing is known, or it was withdrawn, or it expired
   */
  getValue(topic: GossipTopic, key: string): string | null;
  /**
   * Calls the listener for each record that peers brought and that was not known before.
   *
   * @param topic - the topic to follow
   * @param listener - called within the step
   * @returns a function that ends the subscription
   */
  subscribe(topic: GossipTopic, listener: (record: GossipRecord) => void): () => void;
}
