import { BUFFER_PART, RESERVED_SHARES, type BufferPart } from './BUFFER_PART.ts';

const PARTS = Object.values(BUFFER_PART);

/** Something that holds buffer memory and can lose it. */
export interface BufferHolder {
  /** Bytes that it has received, or its reader has taken. */
  readonly progressBytes: number;
  /** Whether it has made too little progress of late to keep its place in scarce memory. */
  isSlow(): boolean;
  /** Gives up its memory at once; the client behind it is refused or cut off. */
  drop(): void;
}

/** One budget of bytes for all buffers of a host that clients can fill. */
export class BufferMemory {
  /** Size of the whole memory. */
  readonly totalBytes: number;

  readonly #onScarce: (part: BufferPart) => void;

  readonly #usedBytes: Record<BufferPart, number> = { smallBodies: 0, bodies: 0, answers: 0 };

  /** Holders that may be dropped, in the order of their arrival. */
  readonly #holders: Record<BufferPart, Set<BufferHolder>> = {
    smallBodies: new Set(), bodies: new Set(), answers: new Set(),
  };

  /**
   * @param totalBytes - size of the whole memory
   * @param onScarce - called for each reservation that found no room, or only by a drop
   */
  constructor(totalBytes: number, onScarce: (part: BufferPart) => void = () => {}) {
    this.totalBytes = totalBytes;
    this.#onScarce = onScarce;
  }

  /**
   * @param part - a part of the memory
   * @returns the bytes that it uses now
   */
  getUsedBytes(part: BufferPart): number {
    return this.#usedBytes[part];
  }

  /**
   * @param part - part of the memory that the holder uses
   * @param holder - a holder that may be dropped from now on
   */
  addHolder(part: BufferPart, holder: BufferHolder): void {
    this.#holders[part].add(holder);
  }

  /**
   * @param part - part of the memory that the holder uses
   * @param holder - a holder that is not to be dropped any more
   */
  removeHolder(part: BufferPart, holder: BufferHolder): void {
    this.#holders[part].delete(holder);
  }

  /**
   * Reserves bytes. When there is no room, slow holders of the part are dropped first, then, if
   * the bytes are for a holder, those with less progress than it, the least first.
   *
   * @param part - the part that the bytes count towards
   * @param bytes - number of bytes
   * @param forHolder - who gets the bytes; null for one that isn't registered
   * @returns whether the bytes are reserved
   */
  tryReserve(part: BufferPart, bytes: number, forHolder: BufferHolder | null = null): boolean {
    if (!this.#hasRoom(part, bytes)) {
      this.#onScarce(part);
      for (;;) {
        const victim = this.#findVictim(part, forHolder);
        if (victim === null) {
          return false;
        }
        this.#holders[part].delete(victim);
        victim.drop();
        if (this.#hasRoom(part, bytes)) {
          break;
        }
      }
    }
    this.#usedBytes[part] += bytes;
    return true;
  }

  /**
   * Counts bytes that are held already and can't be refused.
   *
   * @param part - the part that the bytes count towards
   * @param bytes - number of bytes
   */
  reserve(part: BufferPart, bytes: number): void {
    if (!this.tryReserve(part, bytes)) {
      this.#usedBytes[part] += bytes;
    }
  }

  /**
   * @param part - the part that the bytes counted towards
   * @param bytes - number of bytes that are no longer held
   */
  release(part: BufferPart, bytes: number): void {
    this.#usedBytes[part] -= bytes;
  }

  #hasRoom(part: BufferPart, bytes: number): boolean {
    const claimedBytes = PARTS.reduce((sum, other) => sum + (other === part
      ? this.#usedBytes[other]
      : Math.max(this.#usedBytes[other], RESERVED_SHARES[other] * this.totalBytes)), bytes);
    return claimedBytes <= this.totalBytes;
  }

  /** The first slow holder; else the one with least progress, if less than the asker's. */
  #findVictim(part: BufferPart, forHolder: BufferHolder | null): BufferHolder | null {
    let victim: BufferHolder | null = null;
    let leastBytes = forHolder?.progressBytes ?? 0;
    // eslint-disable-next-line no-restricted-syntax -- ends at the first slow one
    for (const holder of this.#holders[part]) {
      if (holder !== forHolder && holder.isSlow()) {
        return holder;
      }
      if (holder !== forHolder && holder.progressBytes < leastBytes) {
        leastBytes = holder.progressBytes;
        victim = holder;
      }
    }
    return victim;
  }
}
