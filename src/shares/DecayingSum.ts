/** A sum of amounts, each of which counts less the longer ago it was added. */
export class DecayingSum {
  readonly #timeConstantMs: number;

  #value = 0;

  #updatedAtMs = 0;

  /**
   * @param timeConstantMs - time after which an amount counts 1/e of itself
   */
  constructor(timeConstantMs: number) {
    this.#timeConstantMs = timeConstantMs;
  }

  /**
   * @param nowMs - the current time
   * @returns the sum
   */
  get(nowMs: number): number {
    return this.#value * this.#getRemainder(nowMs - this.#updatedAtMs);
  }

  /**
   * @param amount - the amount to add
   * @param nowMs - the current time
   */
  add(amount: number, nowMs: number): void {
    this.#value = this.get(nowMs) + amount;
    this.#updatedAtMs = nowMs;
  }

  /**
   * Takes back an amount that was added before, as far as it still counts.
   *
   * @param amount - the amount that was added
   * @param addedAtMs - when it was added
   * @param nowMs - the current time
   */
  takeBack(amount: number, addedAtMs: number, nowMs: number): void {
    this.#value = Math.max(0, this.get(nowMs) - amount * this.#getRemainder(nowMs - addedAtMs));
    this.#updatedAtMs = nowMs;
  }

  #getRemainder(elapsedMs: number): number {
    return Math.exp(-Math.max(0, elapsedMs) / this.#timeConstantMs);
  }
}
