import { DecayingSum } from './DecayingSum.ts';
import { SHARE_RANK, type ShareRank } from './SHARE_RANK.ts';

/** What one holder, a client account or a kind of request, wants and gets of one resource. */
interface HolderBook {
  /** Work requested; a repeated request counts once. */
  readonly demand: DecayingSum;
  /** Work accepted. */
  readonly taken: DecayingSum;
  /** Work requested over a long time, most of it while nothing was scarce. */
  readonly usual: DecayingSum;
  /** The newest part of the usual demand, which is not learned yet. */
  readonly unlearned: DecayingSum;
  readonly requestCount: DecayingSum;
  readonly acceptedCount: DecayingSum;
}

/** The state of one holder at its last assessment. */
export interface HolderStanding {
  readonly rank: ShareRank;
  /** Work taken lately. */
  readonly taken: number;
  /** Its share of the work of all accounts; Infinity while their usual demand is unknown. */
  readonly share: number;
}

/** Work counts for about this long: bursts of seconds are evened out, and older work is not. */
export const SHARE_WINDOW_MS = 3_000;
/** Usual demand is an average over about this long, so that a burst hardly changes it. */
const USUAL_WINDOW_MS = 30_000;
/**
 * Weight of demand for the usual demand while the resource is scarce. An account that sends many
 * times its usual must not raise its own share by that; a change that lasts is learned slowly.
 */
const SCARCE_LEARNING = 0.1;
/** Accounts are not judged by their usual demand before it has been observed for this long. */
const LEARNING_MS = 5_000;
/** The weight of an account with little or no usual demand, as a fraction of the mean weight. */
const MIN_WEIGHT_FRACTION = 0.1;
/** An account has taken too much beyond this multiple of its share; less is ordinary variation. */
const OVER_FACTOR = 1.25;
/** Requests that an account may be ahead of its share, since single requests are large. */
const OVER_REQUESTS = 2;
/**
 * An account is owed service below this fraction of the common rate of acceptance. Callers are
 * promised a quarter; the order of what waits takes effect with a delay, hence twice that.
 */
const OWED_FRACTION = 0.5;
/** With fewer recent requests than this, the rate of an account says nothing. */
const MIN_REQUESTS = 3;
/** Interval between two assessments; far shorter than the window. */
const ASSESSMENT_MS = 100;

const WITHIN: HolderStanding = { rank: SHARE_RANK.within, taken: 0, share: Infinity };

function createBook(): HolderBook {
  return {
    demand: new DecayingSum(SHARE_WINDOW_MS),
    taken: new DecayingSum(SHARE_WINDOW_MS),
    usual: new DecayingSum(USUAL_WINDOW_MS),
    unlearned: new DecayingSum(SHARE_WINDOW_MS),
    requestCount: new DecayingSum(SHARE_WINDOW_MS),
    acceptedCount: new DecayingSum(SHARE_WINDOW_MS),
  };
}

/** The time that a decaying sum covers, after some time of observation. */
function getObservedMs(windowMs: number, ageMs: number): number {
  return windowMs * (1 - Math.exp(-ageMs / windowMs));
}

function getUnevenRank(isOver: boolean): ShareRank {
  return isOver ? SHARE_RANK.over : SHARE_RANK.owed;
}

/**
 * The shares that client accounts have in one resource, within one priority class. An account's
 * weight is its usual demand, or its demand now if that is less: who sends as usual keeps its part,
 * and who sends many times its usual goes behind the others and gets what they leave.
 *
 * Load pattern: one account sends many times its usual while the resource is scarce. Without
 * shares, all accounts lose the same part of their requests to it.
 */
export class HolderShares {
  readonly #books = new Map<string, HolderBook>();

  #standings = new Map<string, HolderStanding>();

  #assessedAtMs = -Infinity;

  #firstDemandAtMs: number | null = null;

  /**
   * @param holder - the client account or kind
   * @param cost - the work that a new request needs
   * @param isScarce - whether the resource is scarce now
   * @param nowMs - the current time
   */
  recordDemand(holder: string, cost: number, isScarce: boolean, nowMs: number): void {
    this.#firstDemandAtMs ??= nowMs;
    const book = this.#getBook(holder);
    book.demand.add(cost, nowMs);
    book.requestCount.add(1, nowMs);
    const learned = cost * (isScarce ? SCARCE_LEARNING : 1);
    book.usual.add(learned, nowMs);
    book.unlearned.add(learned, nowMs);
  }

  /**
   * @param holder - the client account or kind
   * @param cost - the work that is accepted for it
   * @param nowMs - the current time
   */
  recordTaken(holder: string, cost: number, nowMs: number): void {
    const book = this.#getBook(holder);
    book.taken.add(cost, nowMs);
    book.acceptedCount.add(1, nowMs);
  }

  /**
   * Takes back work that was accepted and will not be done.
   *
   * @param holder - the client account or kind
   * @param cost - the work
   * @param takenAtMs - when it was accepted
   * @param nowMs - the current time
   */
  recordReturned(holder: string, cost: number, takenAtMs: number, nowMs: number): void {
    const book = this.#getBook(holder);
    book.taken.takeBack(cost, takenAtMs, nowMs);
    book.acceptedCount.takeBack(1, takenAtMs, nowMs);
  }

  /**
   * @param holder - a client account or kind
   * @param nowMs - the current time
   * @returns its standing, which is at most 100 ms old; to be used while the resource is scarce
   */
  getStanding(holder: string, nowMs: number): HolderStanding {
    if (nowMs - this.#assessedAtMs >= ASSESSMENT_MS) {
      this.#assess(nowMs);
    }
    return this.#standings.get(holder) ?? WITHIN;
  }

  /** @returns the accounts that were over their share at the last assessment */
  getOverHolders(): string[] {
    return [...this.#standings]
      .filter(([, { rank }]) => rank === SHARE_RANK.over)
      .map(([holder]) => holder);
  }

  #getBook(holder: string): HolderBook {
    const known = this.#books.get(holder);
    if (known !== undefined) {
      return known;
    }
    const book = createBook();
    this.#books.set(holder, book);
    return book;
  }

  #assess(nowMs: number): void {
    this.#assessedAtMs = nowMs;
    const ageMs = nowMs - (this.#firstDemandAtMs ?? nowMs);
    const learnedMs = Math.max(1, getObservedMs(USUAL_WINDOW_MS, ageMs)
      - getObservedMs(SHARE_WINDOW_MS, ageMs));
    const demandMs = Math.max(1, getObservedMs(SHARE_WINDOW_MS, ageMs));
    const books = [...this.#books].map(([holder, book]) => ({
      holder,
      demand: book.demand.get(nowMs) / demandMs,
      taken: book.taken.get(nowMs),
      // Demand of the last seconds may be what makes the resource scarce.
      usual: Math.max(0, book.usual.get(nowMs) - book.unlearned.get(nowMs)) / learnedMs,
      requestCount: book.requestCount.get(nowMs),
      acceptedCount: book.acceptedCount.get(nowMs),
    }));
    const sum = (get: (book: typeof books[number]) => number): number => (
      books.reduce((total, book) => total + get(book), 0));
    const minWeight = (sum(({ usual }) => usual) / Math.max(1, books.length)) * MIN_WEIGHT_FRACTION;
    // What an account does not want of its share is lent to the others.
    const weighted = books.map((book) => ({
      ...book, weight: Math.min(Math.max(minWeight, book.usual), book.demand),
    }));
    const weightSum = weighted.reduce((total, { weight }) => total + weight, 0);
    const takenSum = sum(({ taken }) => taken);
    const acceptedSum = sum(({ acceptedCount }) => acceptedCount);
    const meanCost = takenSum / Math.max(1, acceptedSum);
    const commonRate = acceptedSum / Math.max(1, sum(({ requestCount }) => requestCount));
    const isKnown = ageMs >= LEARNING_MS && weightSum > 0;
    this.#standings = new Map(weighted.map(({
      holder, weight, taken, requestCount, acceptedCount,
    }): [string, HolderStanding] => {
      const share = isKnown ? takenSum * (weight / weightSum) : Infinity;
      const isOver = taken > share * OVER_FACTOR && taken > share + OVER_REQUESTS * meanCost;
      const isOwed = requestCount >= MIN_REQUESTS
        && acceptedCount < requestCount * commonRate * OWED_FRACTION;
      // Whoever sends most of the requests may not be refused nearly all of them.
      const rank = isOver === isOwed ? SHARE_RANK.within : getUnevenRank(isOver);
      return [holder, { rank, taken, share }];
    }));
  }
}
