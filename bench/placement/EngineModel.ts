import type { PromptPart } from '../../src/ingress/CallerRequest.ts';
import type { EventQueue } from '../load/EventQueue.ts';
import type { EngineModelFigures } from './PlacementDeployment.ts';

/** One model engine: reads prompts one after the other, and gives all that run a token a step. */
export class EngineModel {
  readonly #figures: EngineModelFigures;

  readonly #events: EventQueue;

  /** Parts of prompts that it keeps, the least recently used first. */
  readonly #kept = new Map<string, number>();

  #keptTokens = 0;

  #promptsReadAtMs = 0;

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
    const readMs = this.#read(parts) / this.#figures.promptTokensPerMs;
    const startMs = Math.max(this.#events.nowMs, this.#promptsReadAtMs) + readMs;
    this.#promptsReadAtMs = startMs;
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
  #read(parts: readonly PromptPart[]): number {
    const firstMissing = parts.findIndex((part) => !this.#kept.has(part.id));
    const toRead = firstMissing < 0 ? [] : parts.slice(firstMissing);
    parts.forEach((part) => {
      this.#keptTokens += part.tokens - (this.#kept.get(part.id) ?? 0);
      this.#kept.delete(part.id);
      this.#kept.set(part.id, part.tokens);
    });
    [...this.#kept].some(([id, tokens]) => {
      if (this.#keptTokens <= this.#figures.limits.memoryTokens) {
        return true;
      }
      this.#kept.delete(id);
      this.#keptTokens -= tokens;
      return false;
    });
    return toRead.reduce((sum, part) => sum + part.tokens, 0);
  }
}
