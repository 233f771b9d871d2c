import type { PromptPart } from '../ingress/CallerRequest.ts';
import type { UpstreamId } from '../lib/ids.ts';

/** A generation placed on an engine. */
export interface PlacedGeneration {
  /** Prompt tokens that the engine did not have in its cache. */
  readonly prefillTokens: number;
  /** Upper bound on its memory. */
  readonly memoryTokens: number;
  hasStarted: boolean;
}

/** The state of a model engine, as the placement coordinator knows it. */
export interface EngineRecord {
  readonly id: UpstreamId;
  readonly generations: Map<string, PlacedGeneration>;
  /** Tokens of the prompt parts that it likely caches, by part, the least recently used first. */
  readonly cachedParts: Map<string, number>;
  /** Sum of the tokens of these parts. */
  cachedTokens: number;
  failureCount: number;
  /** It gets no new generation before this time. */
  avoidUntilMs: number;
}

/** Pause after a failure; doubles with each consecutive one. */
const MIN_AVOID_MS = 300;
const MAX_AVOID_MS = 3_000;

/**
 * Counts the cached tokens of a prompt; a part counts only if all parts before it are cached too.
 *
 * @param engine - the engine
 * @param parts - a prompt
 * @returns the tokens that need no prefill
 */
export function getCachedTokens(engine: EngineRecord, parts: readonly PromptPart[]): number {
  const firstMissing = parts.findIndex((part) => !engine.cachedParts.has(part.id));
  return parts
    .slice(0, firstMissing < 0 ? parts.length : firstMissing)
    .reduce((sum, part) => sum + part.tokens, 0);
}

/**
 * @param engine - the engine
 * @param request - a request with a prompt
 * @returns the tokens of its prompt that the engine has to read
 */
export function getPrefillTokens(
  engine: EngineRecord,
  { promptTokens, parts }: { promptTokens: number; parts: readonly PromptPart[] },
): number {
  return promptTokens - getCachedTokens(engine, parts);
}

/** Adds a prompt to the cached parts of an engine, as the most recently used ones. */
function addParts(engine: EngineRecord, parts: readonly PromptPart[]): void {
  const record = engine;
  parts.forEach(({ id, tokens }) => {
    record.cachedTokens += tokens - (record.cachedParts.get(id) ?? 0);
    record.cachedParts.delete(id);
    record.cachedParts.set(id, tokens);
  });
}

/** Evicts the least recently used parts of an engine beyond both bounds. */
function evictParts(engine: EngineRecord, maxTokens: number, maxParts: number): void {
  const record = engine;
  // eslint-disable-next-line no-restricted-syntax -- ends at the first part that stays
  for (const [id, tokens] of record.cachedParts) {
    if (record.cachedTokens <= maxTokens && record.cachedParts.size <= maxParts) {
      return;
    }
    record.cachedParts.delete(id);
    record.cachedTokens -= tokens;
  }
}

/** Tracks the generations and the cached prompt parts of model engines. */
export class EngineTable {
  readonly #engines = new Map<UpstreamId, EngineRecord>();

  /** Largest number of cached parts of all engines together. */
  readonly #maxParts: number;

  /**
   * @param maxParts - largest number of cached parts of all engines together
   */
  constructor(maxParts: number) {
    this.#maxParts = maxParts;
  }

  /**
   * @param id - an engine
   * @returns its record, created on first use
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
      cachedTokens: 0,
      failureCount: 0,
      avoidUntilMs: 0,
    };
    this.#engines.set(id, engine);
    return engine;
  }

  /** @param id - an engine that is gone, and its cache with it */
  remove(id: UpstreamId): void {
    this.#engines.delete(id);
  }

  /**
   * Records a generation placed on an engine, and evicts prompt parts beyond its capacity.
   *
   * @param id - the engine
   * @param requestId - the request
   * @param parts - its prompt
   * @param memoryTokens - the upper bound on its memory
   * @param capacityTokens - the capacity of the engine's cache
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
    const prefillTokens = promptTokens - getCachedTokens(engine, parts);
    engine.generations.set(requestId, { prefillTokens, memoryTokens, hasStarted: false });
    addParts(engine, parts);
    evictParts(engine, capacityTokens, this.#maxParts / this.#engines.size);
  }

  /**
   * @param id - the engine
   * @param requestId - a generation whose prompt has been processed
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
   * @param nowMs - the current time
   */
  recordFailure(id: UpstreamId, nowMs: number): void {
    const engine = this.get(id);
    const pauseMs = Math.min(MAX_AVOID_MS, MIN_AVOID_MS * 2 ** engine.failureCount);
    engine.failureCount += 1;
    engine.avoidUntilMs = nowMs + pauseMs;
  }
}
