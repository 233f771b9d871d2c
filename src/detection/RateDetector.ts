/** Detects a rise of the error rate of attempts from the counts of successive ticks. */
export interface RateDetector {
  /** Statistic that is compared with the threshold. */
  readonly statistic: number;
  /**
   * Adds the counts of one tick.
   *
   * @param offered - attempts that ended in the tick: the population size of the paper
   * @param errors - number of them that failed
   * @returns whether the alarm is raised
   */
  addTick(offered: number, errors: number): boolean;
  /** Resets the statistic, for example after an alarm was handled. */
  reset(): void;
}

/** Change of the error rate that a detector is tuned for. */
export interface RateChange {
  /** Error rate per attempt before the change: lambda 0 of the paper. */
  readonly baseRate: number;
  /** Error rate per attempt after the change: lambda 1 of the paper. */
  readonly raisedRate: number;
}
