import type { PromptPart } from '../ingress/CallerRequest.ts';
import type { UpstreamId } from '../lib/ids.ts';
import { getCachedTokens, type EngineRecord } from './EngineTable.ts';

/** An engine that may be chosen. */
export interface EngineCandidate {
  readonly engine: EngineRecord;
  readonly failureDomain: string;
}

/** What a generation needs. */
export interface EngineDemand {
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  /** Memory it takes at most. */
  readonly memoryTokens: number;
  /** Bytes of inputs by the failure domain in which they stand. */
  readonly inputBytes: ReadonlyMap<string, number>;
}

/** What an engine holds at most. */
export interface EngineBounds {
  readonly slots: number;
  readonly memoryTokens: number;
}

/**
 * Prompt tokens that take an engine as long as one more running generation slows the others down
 * over a prompt.
 */
const TOKENS_PER_RUNNING = 150;
/**
 * Weight of tokens that an engine would have to read, against those that wait to be read there
 * already: what another engine keeps is read in vain, and slows all that run beside it.
 */
const PREFILL_WEIGHT = 2;
/** Prompt tokens that cost as much as bringing a megabyte from another failure domain. */
const TOKENS_PER_FOREIGN_MEGABYTE = 300;
const BYTES_PER_MEGABYTE = 1_000_000;

function hasRoom(engine: EngineRecord, demand: EngineDemand, bounds: EngineBounds): boolean {
  const running = [...engine.generations.values()];
  const usedTokens = running.reduce((sum, generation) => sum + generation.memoryTokens, 0);
  return running.length < bounds.slots
    && (running.length === 0 || usedTokens + demand.memoryTokens <= bounds.memoryTokens);
}

function getCost({ engine, failureDomain }: EngineCandidate, demand: EngineDemand): number {
  const ownTokens = demand.promptTokens - getCachedTokens(engine, demand.parts);
  const waitingTokens = [...engine.generations.values()]
    .reduce((sum, generation) => sum + (generation.hasStarted ? 0 : generation.prefillTokens), 0);
  const foreignBytes = [...demand.inputBytes]
    .reduce((sum, [domain, bytes]) => sum + (domain === failureDomain ? 0 : bytes), 0);
  return ownTokens * PREFILL_WEIGHT
    + waitingTokens
    + engine.generations.size * TOKENS_PER_RUNNING
    + (foreignBytes / BYTES_PER_MEGABYTE) * TOKENS_PER_FOREIGN_MEGABYTE;
}

/**
 * Chooses the engine that has least to read before the first token: what it must read of this
 * prompt, what waits to be read before it, and what its running generations take of its time.
 *
 * Load pattern: prompts of thousands of tokens whose first parts are shared. Round robin reads the
 * shared parts at every engine, and puts long prompts behind one another while others idle.
 *
 * @param candidates - the engines that may be used
 * @param demand - what the generation needs
 * @param bounds - what an engine holds
 * @returns the engine; null when none has room
 */
export function chooseEngine(
  candidates: readonly EngineCandidate[],
  demand: EngineDemand,
  bounds: EngineBounds,
): UpstreamId | null {
  let best: { id: UpstreamId; cost: number } | null = null;
  candidates.forEach((candidate) => {
    if (!hasRoom(candidate.engine, demand, bounds)) {
      return;
    }
    const cost = getCost(candidate, demand);
    if (best === null || cost < best.cost) {
      best = { id: candidate.engine.id, cost };
    }
  });
  return (best as { id: UpstreamId } | null)?.id ?? null;
}
