import type { PromptPart } from '../../src/ingress/CallerRequest.ts';
import type { EventQueue } from '../load/EventQueue.ts';
import type { EngineModelFigures } from './PlacementDeployment.ts';

/**
 * A simulated engine: it prefills prompts one after the other and generates one token per step for
 * each running generation.
 */
export class EngineModel {
  readonly #figures: EngineModelFigures;

  readonly #events: EventQueue;

  /** Cached prompt parts and their tokens, the least recently used first. */
  readonly #cachedParts = new Map<string, number>();

  #cachedTokens = 0;

  #prefillEndsAtMs = 0;

  #runningCount = 0;

  /**
   * @param figures - speed and limits of the engine
   * @param events - schedules the steps
   */
  constructor(figures: EngineModelFigures, events: EventQueue) {
    this.#figures = figures;
    this.#events = events;
  }

  /**
   * Runs a generation.
   *
   * @param parts - the parts of the prompt
   * @param outputTokens - number of tokens to generate
   * @param onFirstToken - called at the first token
   * @param onEnd - called at the last token
   */
  run(
    parts: readonly PromptPart[],
    outputTokens: number,
    onFirstToken: () => void,
    onEnd: () => void,
  ): void {
    const prefillMs = this.#prefill(parts) / this.#figures.promptTokensPerMs;
    const startMs = Math.max(this.#events.nowMs, this.#prefillEndsAtMs) + prefillMs;
    this.#prefillEndsAtMs = startMs;
    this.#runningCount += 1;
    this.#events.after(startMs - this.#events.nowMs, () => {
      onFirstToken();
      const stepMs = this.#figures.stepMs + this.#figures.stepMsPerRunning * this.#runningCount;
      this.#events.after(stepMs * outputTokens, () => {
        this.#runningCount -= 1;
        onEnd();
      });
    });
  }

  /**
   * Caches the parts of a prompt.
   *
   * @returns the tokens to prefill; a cached part saves work only if all parts before it are cached
   */
  #prefill(parts: readonly PromptPart[]): number {
    const firstMissing = parts.findIndex((part) => !this.#cachedParts.has(part.id));
    const uncachedParts = firstMissing < 0 ? [] : parts.slice(firstMissing);
    parts.forEach((part) => {
      this.#cachedTokens += part.tokens - (this.#cachedParts.get(part.id) ?? 0);
      this.#cachedParts.delete(part.id);
      this.#cachedParts.set(part.id, part.tokens);
    });
    [...this.#cachedParts].some(([id, tokens]) => {
      if (this.#cachedTokens <= this.#figures.limits.memoryTokens) {
        return true;
      }
      this.#cachedParts.delete(id);
      this.#cachedTokens -= tokens;
      return false;
    });
    return uncachedParts.reduce((sum, part) => sum + part.tokens, 0);
  }
}
