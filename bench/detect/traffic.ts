import type { RandomSource } from '../../src/lib/RandomSource.ts';

/** Attempts per tick at one upstream, as a function of the tick. */
export interface Traffic {
  readonly name: string;
  /**
   * @param tick - counted from 0
   * @returns the mean number of attempts
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

/** The growth curve of formula (7) of the paper, upwards and downwards, and two plain ones. */
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
 * Draws the number of successes by jumping from one to the next, in O(n p).
 *
 * @param count - number of trials
 * @param probability - of each success
 * @param random - the source
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
 * @param mean - the mean
 * @param random - the source
 * @returns a Poisson number (Knuth's product method; for means up to some tens)
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
