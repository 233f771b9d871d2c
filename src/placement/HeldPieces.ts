import type { PlacementJob } from './PlacementJob.ts';

function countPieces({ stages }: PlacementJob): number {
  return stages.reduce((sum, { pieceCount }) => sum + pieceCount, 0);
}

/** Counts the pieces of the requests that a placement coordinator holds; it holds only so many. */
export class HeldPieces {
  /** Largest number of pieces of all requests together. */
  readonly #maxCount: number;

  #count = 0;

  /**
   * @param maxCount - largest number of pieces of all requests together
   */
  constructor(maxCount: number) {
    this.#maxCount = maxCount;
  }

  /**
   * @param job - a request
   * @returns whether its pieces exceed the bound even if no other request is held
   */
  isTooLarge(job: PlacementJob): boolean {
    return countPieces(job) > this.#maxCount;
  }

  /**
   * @param job - a request
   * @returns whether there is room for its pieces beside those that are held
   */
  hasRoom(job: PlacementJob): boolean {
    return this.#count + countPieces(job) <= this.#maxCount;
  }

  /** @param job - a request that is held from now on */
  add(job: PlacementJob): void {
    this.#count += countPieces(job);
  }

  /** @param job - a request that was added and is no longer held */
  remove(job: PlacementJob): void {
    this.#count -= countPieces(job);
  }
}
