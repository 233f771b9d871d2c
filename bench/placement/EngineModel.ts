import type { PromptPart } from '../../src/ingress/CallerRequest.ts';
import type { EventQueue } from '../load/EventQueue.ts';
import type { EngineModelFigures } from './PlacementDeployment.ts';

/** One model engine: reads prompts one after the other, and gives all that run a token a step. */
export class EngineModel {
  readonly #figures: EngineModelFigures;

  readonly #events: EventQueue;

  /** Parts of prompts that it keeps, the least recently used first. */
  readonly #cachedParts = new Map<string, number>();

  #cachedTokens = 0;

  #prefillEndsAtMs = 0;

  #runningCount = 0;

  /**
   * @param figures - how fast it is
   * @param events - the time
   */
  constructor(figures: EngineModelFigures, events: EventQueue) {
    this.#figures = figures;
    this.#events = events;
  }

  /**
   * @param parts - the prompt
   * @param outputTokens - tokens to generate
   * @param onFirstToken - called at the first token
   * @param onEnd - called at the last one
   */
  run(
    parts: readonly PromptPart[],
    outputTokens: number,
    onFirstToken: () => void,
    onEnd: () => void,
  ): void {
    const readMs = this.#prefill(parts) / this.#figures.promptTokensPerMs;
    const startMs = Math.max(this.#events.nowMs, this.#prefillEndsAtMs) + readMs;
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

  /** @returns tokens that have to be read; a part is of use only behind parts that are kept */
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
