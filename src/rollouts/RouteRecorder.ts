import { addLatency, createLatencyCounts } from './LatencyCounts.ts';
import type { RouteCounts, SideCounts, SlowBounds } from './RolloutReport.ts';

interface MutableCounts {
  sentCount: number;
  judgedCount: number;
  badCount: number;
}

/** An attempt at one side of a rollout, as far as it has come. */
export interface ObservedAttempt {
  readonly isTarget: boolean;
  /** Whether the upstream was still cold when the request was sent, so that it may be slow. */
  readonly isCold: boolean;
  readonly sentAtMs: number;
  firstByteAtMs: number | null;
  /** Whether it has been counted as good or bad. */
  isJudged: boolean;
  /** Whether it is left out, since this host stood still while its answer arrived. */
  isForgotten?: boolean;
}

function copy({ sentCount, judgedCount, badCount }: MutableCounts): SideCounts {
  return { sentCount, judgedCount, badCount };
}

/** Counts the answers of one route on this host since the order of a rollout. */
export class RouteRecorder {
  readonly #route: string;

  readonly #target: MutableCounts = { sentCount: 0, judgedCount: 0, badCount: 0 };

  readonly #others: MutableCounts = { sentCount: 0, judgedCount: 0, badCount: 0 };

  readonly #firstLatencies = createLatencyCounts();

  readonly #totalLatencies = createLatencyCounts();

  readonly #open = new Set<ObservedAttempt>();

  #bounds: SlowBounds | null = null;

  /**
   * @param route - name of the route
   */
  constructor(route: string) {
    this.#route = route;
  }

  /** Answers of the target that were bad, on this host. */
  get targetBadCount(): number {
    return this.#target.badCount;
  }

  /** Answers of the target that were judged, on this host. */
  get targetJudgedCount(): number {
    return this.#target.judgedCount;
  }

  /** @param bounds - latencies above which answers count as bad from now on */
  setBounds(bounds: SlowBounds): void {
    this.#bounds = bounds;
  }

  /** @param attempt - an attempt that has just been sent */
  recordSent(attempt: ObservedAttempt): void {
    this.#getSide(attempt).sentCount += 1;
    this.#open.add(attempt);
  }

  /**
   * @param attempt - an attempt that has ended
   * @param outcome - its outcome; `dropped` when its end shows nothing, which still counts as bad
   * if it was slow by then
   * @param nowMs - the current time
   */
  recordEnd(attempt: ObservedAttempt, outcome: 'good' | 'bad' | 'dropped', nowMs: number): void {
    this.#open.delete(attempt);
    if (outcome === 'good' && !attempt.isTarget && !attempt.isCold && !attempt.isForgotten) {
      addLatency(this.#firstLatencies, (attempt.firstByteAtMs ?? nowMs) - attempt.sentAtMs);
      addLatency(this.#totalLatencies, nowMs - attempt.sentAtMs);
    }
    if (attempt.isJudged) {
      return;
    }
    if (outcome === 'bad') {
      this.#judge(attempt, true);
    } else if (this.#isSlow(attempt, nowMs)) {
      this.#judge(attempt, true);
    } else if (outcome === 'good') {
      this.#judge(attempt, false);
    }
  }

  /**
   * Counts open attempts as bad that have taken too long already.
   *
   * @param nowMs - the current time
   */
  judgeOpen(nowMs: number): void {
    this.#open.forEach((attempt) => {
      if (!attempt.isJudged && this.#isSlow(attempt, nowMs)) {
        this.#judge(attempt, true);
      }
    });
  }

  /** Leaves open attempts out, since this host stood still while their answers arrived. */
  forgetOpen(): void {
    this.#open.forEach((attempt) => {
      const forgotten = attempt;
      forgotten.isJudged = true;
      forgotten.isForgotten = true;
    });
  }

  /** @returns the counts so far */
  getCounts(): RouteCounts {
    return {
      route: this.#route,
      target: copy(this.#target),
      others: copy(this.#others),
      firstLatencies: [...this.#firstLatencies],
      totalLatencies: [...this.#totalLatencies],
    };
  }

  #getSide({ isTarget }: ObservedAttempt): MutableCounts {
    return isTarget ? this.#target : this.#others;
  }

  #isSlow({ isCold, sentAtMs, firstByteAtMs }: ObservedAttempt, nowMs: number): boolean {
    return this.#bounds !== null && !isCold
      && ((firstByteAtMs ?? nowMs) - sentAtMs > this.#bounds.firstMs
        || nowMs - sentAtMs > this.#bounds.totalMs);
  }

  #judge(attempt: ObservedAttempt, isBad: boolean): void {
    const judged = attempt;
    judged.isJudged = true;
    const side = this.#getSide(attempt);
    side.judgedCount += 1;
    side.badCount += isBad ? 1 : 0;
  }
}
