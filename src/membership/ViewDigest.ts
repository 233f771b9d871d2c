import type { MemberRecord } from '../peers/PeerMessage.ts';
import { getRendezvousScore } from './getRendezvousScore.ts';
import type { MemberTable } from './MemberTable.ts';

const UINT32_RANGE = 0x1_0000_0000;

/**
 * Hashes of a view by bucket, so that two hosts find the members they disagree about without
 * sending them all. Dead members count as absent, since hosts forget them at different times, and
 * suspicions do not count, since they pass.
 */
export class ViewDigest {
  readonly #table: MemberTable;

  readonly #bucketCount: number;

  #version = -1;

  #selfGeneration = -1;

  #buckets: readonly number[] = [];

  /**
   * @param table - the members
   * @param bucketCount - how many buckets
   */
  constructor(table: MemberTable, bucketCount: number) {
    this.#table = table;
    this.#bucketCount = bucketCount;
  }

  /**
   * @param self - the own record
   * @returns one unsigned 32-bit hash for each bucket
   */
  get(self: MemberRecord): readonly number[] {
    if (this.#version !== this.#table.version || this.#selfGeneration !== self.generation) {
      this.#version = this.#table.version;
      this.#selfGeneration = self.generation;
      this.#buckets = this.#compute([self, ...this.#table.getPresent()]);
    }
    return this.#buckets;
  }

  /**
   * @param self - the own record
   * @param received - the hashes of a peer
   * @returns the members, dead ones included, in buckets whose hashes differ
   */
  getDifferent(self: MemberRecord, received: readonly number[]): MemberRecord[] {
    const own = this.get(self);
    const isDifferent = own.map((hash, bucket) => hash !== received[bucket]);
    if (received.length !== own.length || !isDifferent.includes(true)) {
      return [];
    }
    return this.#table.getAll()
      .map(({ record }) => record)
      .filter(({ hostId }) => isDifferent[this.#getBucket(hostId)]);
  }

  #compute(present: readonly MemberRecord[]): number[] {
    const buckets = new Array<number>(this.#bucketCount).fill(0);
    present.forEach(({ hostId, generation, state }) => {
      const bucket = this.#getBucket(hostId);
      const statement = `${generation}${state === 'leaving' ? ' leaving' : ''}`;
      const hash = getRendezvousScore(hostId, statement) * UINT32_RANGE;
      // eslint-disable-next-line no-bitwise -- exclusive or does not depend on the order
      buckets[bucket] = ((buckets[bucket] ?? 0) ^ hash) >>> 0;
    });
    return buckets;
  }

  #getBucket(hostId: string): number {
    return Math.floor(getRendezvousScore(hostId, 'bucket') * this.#bucketCount);
  }
}
