import type { SideCounts } from './RolloutReport.ts';

/** Answers of one route, summed over all hosts since the order. */
export interface RouteTotals {
  readonly route: string;
  readonly target: SideCounts;
  readonly others: SideCounts;
}

/** What the answers so far show about the target. */
export type RolloutVerdict =
  | { readonly kind: 'bad'; readonly detail: string }
  /** Enough answers on each route, and no more bad ones than other versions explain. */
  | { readonly kind: 'good' }
  /** Few answers so far, but as a whole they rather speak for the target. */
  | { readonly kind: 'promising'; readonly waitsFor: string }
  | { readonly kind: 'open'; readonly waitsFor: string };

/** Bad answers that are expected of any version, at least. */
const MIN_EXPECTED_RATE = 0.01;
const MAX_EXPECTED_RATE = 0.6;
/** Answers by which a low rate of the other versions is taken as uncertain. */
const PRIOR_COUNT = 50;
/** Multiple of the other versions' rate that a sound target may have. */
const TOLERATED_RATIO = 1.5;
/** Excess over the expected rate that is to be found: at least this, or this part of the rate. */
const RAISED_DIFFERENCE = 0.15;
const RAISED_FRACTION = 0.5;
const MAX_RAISED_RATE = 0.95;
/**
 * Cumulative log likelihood ratio that shows a bad target. By Wald's bound one sequence of answers
 * of a sound target reaches it with a probability of at most e^-7.5 from any one start.
 */
const BAD_THRESHOLD = 7.5;
/** Above this, a target is not taken for good. */
const DOUBT_THRESHOLD = 4;
/**
 * Excess over the expected rate that a target is proven not to have. It is larger than the excess
 * that shows a bad target, as a canary brings few answers on each route.
 */
const EXCLUDED_DIFFERENCE = 0.25;
/** Log likelihood ratio on one route below which the target is good there: about 8 answers. */
const GOOD_ROUTE_THRESHOLD = -2.3;
/** The same for all routes together: about 20 answers. */
const GOOD_POOL_THRESHOLD = -6;
const PROMISING_THRESHOLD = -1.5;
/** Share of a pool's answers below which a route need not be sampled. */
const MIN_ROUTE_SHARE = 0.01;
const POOL = 'all routes';

interface Sequence {
  /** One-sided cumulative sum, which finds a late change. */
  cusum: number;
  /** Log likelihood ratio of all answers, for a target that is much worse. */
  logRatio: number;
  judgedCount: number;
  badCount: number;
}

function getExpectedRate({ judgedCount, badCount }: SideCounts): number {
  const rate = TOLERATED_RATIO * (badCount / (judgedCount + PRIOR_COUNT));
  return Math.min(MAX_EXPECTED_RATE, Math.max(MIN_EXPECTED_RATE, rate));
}

function getRaisedRate(expected: number, difference: number): number {
  return Math.min(MAX_RAISED_RATE, expected + Math.max(difference, expected * RAISED_FRACTION));
}

function getLogRatio(
  { badCount, goodCount }: { readonly badCount: number; readonly goodCount: number },
  expected: number,
  difference: number,
): number {
  const raised = getRaisedRate(expected, difference);
  return badCount * Math.log(raised / expected)
    + goodCount * Math.log((1 - raised) / (1 - expected));
}

function addSides(left: SideCounts, right: SideCounts): SideCounts {
  return {
    sentCount: left.sentCount + right.sentCount,
    judgedCount: left.judgedCount + right.judgedCount,
    badCount: left.badCount + right.badCount,
  };
}

const NO_ANSWERS: SideCounts = { sentCount: 0, judgedCount: 0, badCount: 0 };

/**
 * Judges a target by a sequential test: for each route and for all routes together, a cumulative
 * sum of log likelihood ratios (Page) of the target's bad answers against the rate that the other
 * versions have on the same route since the order. Each answer of the target adds one
 * term, so that a growing share of the target doesn't change the rate of false alarms.
 */
export class RolloutJudge {
  readonly #sequences = new Map<string, Sequence>();

  #totals: readonly RouteTotals[] = [];

  /**
   * Adds the answers since the last call.
   *
   * @param totals - the answers of each route since the order, from all hosts
   */
  update(totals: readonly RouteTotals[]): void {
    this.#totals = totals;
    totals.forEach(({ route, target, others }) => this.#addAnswers(route, target, others));
    this.#addAnswers(POOL, this.#sum('target'), this.#sum('others'));
  }

  /** @returns what all answers so far show */
  getVerdict(): RolloutVerdict {
    const bad = [...this.#sequences].find(([, { cusum }]) => cusum >= BAD_THRESHOLD);
    if (bad !== undefined) {
      const [route, { badCount, judgedCount, cusum }] = bad;
      const detail = `${badCount} of ${judgedCount} answers were bad on ${route}`
        + ` (statistic ${cusum.toFixed(1)})`;
      return { kind: 'bad', detail };
    }
    const doubtful = [...this.#sequences].find(([, { cusum }]) => cusum >= DOUBT_THRESHOLD);
    if (doubtful !== undefined) {
      return { kind: 'open', waitsFor: `more answers on ${doubtful[0]}, as some were bad` };
    }
    const pool = this.#sequences.get(POOL);
    const waitsFor = this.#getUnproven();
    if (pool === undefined || pool.logRatio > PROMISING_THRESHOLD) {
      return { kind: 'open', waitsFor: waitsFor ?? POOL };
    }
    return waitsFor === null ? { kind: 'good' } : { kind: 'promising', waitsFor };
  }

  #sum(side: 'target' | 'others'): SideCounts {
    return this.#totals.reduce((sum, totals) => addSides(sum, totals[side]), NO_ANSWERS);
  }

  #addAnswers(route: string, target: SideCounts, others: SideCounts): void {
    const known = this.#sequences.get(route) ?? {
      cusum: 0, logRatio: 0, judgedCount: 0, badCount: 0,
    };
    const badCount = Math.max(0, target.badCount - known.badCount);
    const answers = {
      badCount,
      goodCount: Math.max(0, target.judgedCount - known.judgedCount - badCount),
    };
    const expected = getExpectedRate(others);
    const increment = getLogRatio(answers, expected, RAISED_DIFFERENCE);
    this.#sequences.set(route, {
      cusum: Math.max(0, known.cusum + increment),
      logRatio: known.logRatio + getLogRatio(answers, expected, EXCLUDED_DIFFERENCE),
      judgedCount: Math.max(known.judgedCount, target.judgedCount),
      badCount: Math.max(known.badCount, target.badCount),
    });
  }

  /** Finds what has too few good answers of the target; null when nothing has. */
  #getUnproven(): string | null {
    const all = this.#sum('others').judgedCount + this.#sum('target').judgedCount;
    const route = this.#totals.find((totals) => {
      const judgedCount = totals.others.judgedCount + totals.target.judgedCount;
      return judgedCount >= all * MIN_ROUTE_SHARE
        && (this.#sequences.get(totals.route)?.logRatio ?? 0) > GOOD_ROUTE_THRESHOLD;
    });
    if (route !== undefined) {
      return `more answers on ${route.route}`;
    }
    const pool = this.#sequences.get(POOL);
    return pool === undefined || pool.logRatio > GOOD_POOL_THRESHOLD
      ? `more answers on ${POOL}`
      : null;
  }
}
