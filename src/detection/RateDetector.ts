/** Watches errors among offered attempts, tick by tick, for a rise of their rate. */
export interface RateDetector {
  /** The statistic that is held against the threshold. */
  readonly statistic: number;
  /**
   * Takes what one tick saw.
   *
   * @param offered - attempts that ended in the tick: the population size of the paper
   * @param errors - how many of them failed
   * @returns whether the alarm is raised
   */
  addTick(offered: number, errors: number): boolean;
  /** Forgets everything, as after an alarm that was acted on. */
  reset(): void;
}

/** The change that a detector is tuned for. */
export interface RateChange {
  /** Error rate per attempt before the change: lambda 0 of the paper. */
  readonly baseRate: number;
  /** Error rate per attempt after the change: lambda 1 of the paper. */
  readonly raisedRate: number;
}
