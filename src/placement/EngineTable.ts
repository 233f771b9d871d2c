import type { PromptPart } from '../ingress/CallerRequest.ts';
import type { UpstreamId } from '../lib/ids.ts';

/** A generation that was placed. */
export interface PlacedGeneration {
  /** Prompt tokens that the engine had to read. */
  readonly prefillTokens: number;
  /** Memory it takes at most. */
  readonly memoryTokens: number;
  hasStarted: boolean;
}

/** A model engine, as the placing host sees it. */
export interface EngineRecord {
  readonly id: UpstreamId;
  readonly generations: Map<string, PlacedGeneration>;
  /** Parts of prompts that it likely keeps, the least recently used first. */
  readonly cachedParts: Map<string, number>;
  failureCount: number;
  /** No new work before this time. */
  avoidUntilMs: number;
}

/** Pause after a failure; doubles with each further one. */
const MIN_AVOID_MS = 300;
const MAX_AVOID_MS = 3_000;

/**
 * A part is of use only where all parts before it are kept as well.
 *
 * @param engine - the engine
 * @param parts - a prompt
 * @returns its tokens that the engine need not read again
 */
export function getCachedTokens(engine: EngineRecord, parts: readonly PromptPart[]): number {
  const firstMissing = parts.findIndex((part) => !engine.cachedParts.has(part.id));
  return parts
    .slice(0, firstMissing < 0 ? parts.length : firstMissing)
    .reduce((sum, part) => sum + part.tokens, 0);
}

/** What model engines run and keep. */
export class EngineTable {
  readonly #engines = new Map<UpstreamId, EngineRecord>();

  /**
   * @param id - an engine
   * @returns its record, made at the first call
   */
  get(id: UpstreamId): EngineRecord {
    const known = this.#engines.get(id);
    if (known !== undefined) {
      return known;
    }
    const engine: EngineRecord = {
      id,
      generations: new Map(),
      cachedParts: new Map(),
      failureCount: 0,
      avoidUntilMs: 0,
    };
    this.#engines.set(id, engine);
    return engine;
  }

  /** @param id - an engine that is gone, with what it kept */
  remove(id: UpstreamId): void {
    this.#engines.delete(id);
  }

  /**
   * Books a generation at an engine.
   *
   * @param id - the engine
   * @param requestId - the request
   * @param parts - its prompt
   * @param memoryTokens - what it takes at most
   * @param capacityTokens - what the engine keeps in all
   */
  place(
    id: UpstreamId,
    requestId: string,
    parts: readonly PromptPart[],
    memoryTokens: number,
    capacityTokens: number,
  ): void {
    const engine = this.get(id);
    const promptTokens = parts.reduce((sum, part) => sum + part.tokens, 0);
    const readTokens = promptTokens - getCachedTokens(engine, parts);
    engine.generations.set(requestId, { prefillTokens: readTokens, memoryTokens, hasStarted: false });
    parts.forEach((part) => {
      engine.cachedParts.delete(part.id);
      engine.cachedParts.set(part.id, part.tokens);
    });
    let keptTokens = [...engine.cachedParts.values()].reduce((sum, tokens) => sum + tokens, 0);
    [...engine.cachedParts].some(([partId, tokens]) => {
      if (keptTokens > capacityTokens) {
        engine.cachedParts.delete(partId);
        keptTokens -= tokens;
      }
      return keptTokens <= capacityTokens;
    });
  }

  /**
   * @param id - the engine
   * @param requestId - a generation whose prompt has been read
   */
  recordStarted(id: UpstreamId, requestId: string): void {
    const engine = this.get(id);
    engine.failureCount = 0;
    const generation = engine.generations.get(requestId);
    if (generation !== undefined) {
      generation.hasStarted = true;
    }
  }

  /**
   * @param id - the engine
   * @param requestId - a generation that is over
   */
  recordEnded(id: UpstreamId, requestId: string): void {
    this.get(id).generations.delete(requestId);
  }

  /**
   * @param id - an engine that failed
   * @param nowMs - the time of the step
   */
  recordFailure(id: UpstreamId, nowMs: number): void {
    const engine = this.get(id);
    const pauseMs = Math.min(MAX_AVOID_MS, MIN_AVOID_MS * 2 ** engine.failureCount);
    engine.failureCount += 1;
    engine.avoidUntilMs = nowMs + pauseMs;
  }
}
