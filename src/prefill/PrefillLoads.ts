import type { EngineRecord } from '../placement/EngineTable.ts';

/** Prompt tokens that engines commonly prefill in one step, between tokens of other requests. */
const STEP_TOKENS = 2_048;
/** A prompt is long if its prefill takes more than two steps. */
const LONG_PREFILL_TOKENS = 2 * STEP_TOKENS;
/**
 * Tokens that may wait for prefill on an engine before a further long prompt is held back. A short
 * prompt waits for about so many steps at most, and the engine has work until the next one arrives.
 */
const PREFILL_BUDGET_TOKENS = 8 * STEP_TOKENS;
/** Both kinds of prompt are taken to occur for this long after the last one of each. */
const MIXED_MS = 10_000;

/** A prompt to place. */
export interface PromptDemand {
  /** Its tokens that the engine has not cached. */
  readonly prefillTokens: number;
  /** Monotonic time at which it has to start to be on time. */
  readonly onTimeAtMs: number;
}

/**
 * Bounds the prefill that waits on each engine, by holding back long prompts at the coordinator.
 *
 * Load pattern: long and short prompts on the same engines, in bursts that fill their prefill
 * queues. Engines prefill in order of arrival, so that a short prompt waits for all long ones
 * before it. Held back, long ones go to whichever engine is ready first, and short ones pass them.
 * A long prompt is held only while it can be on time, so that none of them starves. While prompts
 * of one kind alone occur, nothing is held.
 */
export class PrefillLoads {
  #lastLongAtMs = -Infinity;

  #lastShortAtMs = -Infinity;

  /**
   * @param prefillTokens - prompt tokens that the chosen engine has to read
   * @param nowMs - the current time
   */
  recordPlaced(prefillTokens: number, nowMs: number): void {
    if (prefillTokens > LONG_PREFILL_TOKENS) {
      this.#lastLongAtMs = nowMs;
    } else {
      this.#lastShortAtMs = nowMs;
    }
  }

  /**
   * @param engine - an engine
   * @param demand - the prompt
   * @param nowMs - the current time
   * @returns whether the engine may get the prompt now
   */
  isOpen(
    { generations }: EngineRecord,
    { prefillTokens, onTimeAtMs }: PromptDemand,
    nowMs: number,
  ): boolean {
    if (prefillTokens <= LONG_PREFILL_TOKENS || nowMs >= onTimeAtMs || !this.#isMixed(nowMs)) {
      return true;
    }
    let waitingTokens = 0;
    generations.forEach((generation) => {
      waitingTokens += generation.hasStarted ? 0 : generation.prefillTokens;
    });
    return waitingTokens < PREFILL_BUDGET_TOKENS;
  }

  #isMixed(nowMs: number): boolean {
    return nowMs - Math.min(this.#lastLongAtMs, this.#lastShortAtMs) < MIXED_MS;
  }
}
