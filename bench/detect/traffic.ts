import type { RandomSource } from '../../src/lib/RandomSource.ts';

/** The mean number of attempts at one upstream as a function of the tick. */
export interface Traffic {
  readonly name: string;
  /**
   * Gets the mean number of attempts in a tick.
   *
   * @param tick - counted from 0
   * @returns the mean
   */
  getMean(tick: number): number;
}

const LOW = 4;
const HIGH = 40;
const MIDDLE = 20;
const MIDDLE_TICK = 300;
const SCALE_TICKS = 60;
const DIP_TICKS = 120;

function getLogistic(tick: number): number {
  return 1 / (1 + Math.exp(-(tick - MIDDLE_TICK) / SCALE_TICKS));
}

/**
 * Rising and falling traffic along the growth curve of formula (7) of the detection paper, constant
 * traffic and a sine wave.
 */
export const TRAFFICS: readonly Traffic[] = [
  { name: 'constant', getMean: () => MIDDLE },
  { name: 'rising', getMean: (tick) => LOW + (HIGH - LOW) * getLogistic(tick) },
  { name: 'falling', getMean: (tick) => HIGH - (HIGH - LOW) * getLogistic(tick) },
  {
    name: 'waves',
    getMean: (tick) => MIDDLE + (MIDDLE - LOW) * Math.sin((2 * Math.PI * tick) / DIP_TICKS),
  },
];

/**
 * Draws a binomial number by sampling the gaps between successes, in O(n p).
 *
 * @param count - number of trials
 * @param probability - probability of success in each trial
 * @param random - source of randomness
 * @returns the number of successes
 */
export function drawBinomial(count: number, probability: number, random: RandomSource): number {
  if (probability <= 0) {
    return 0;
  }
  const logMiss = Math.log(1 - probability);
  let successes = -1;
  let position = 0;
  while (position <= count) {
    successes += 1;
    position += 1 + Math.floor(Math.log(1 - random.getFraction()) / logMiss);
  }
  return successes;
}

/**
 * Draws a Poisson number by Knuth's product method, which suits means up to some tens.
 *
 * @param mean - mean of the distribution
 * @param random - source of randomness
 * @returns the number drawn
 */
export function drawPoisson(mean: number, random: RandomSource): number {
  const limit = Math.exp(-mean);
  let product = random.getFraction();
  let count = 0;
  while (product > limit) {
    product *= random.getFraction();
    count += 1;
  }
  return count;
}
