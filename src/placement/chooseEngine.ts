import type { PromptPart } from '../ingress/CallerRequest.ts';
import type { UpstreamId } from '../lib/ids.ts';
import { getCachedTokens, type EngineRecord } from './EngineTable.ts';

/** An engine to choose from. */
export interface EngineCandidate {
  readonly engine: EngineRecord;
  readonly failureDomain: string;
  /** Time that work takes there now, relative to the usual time. */
  readonly workTimeFactor: number;
}

/** The resources that a generation needs. */
export interface EngineDemand {
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  /** Input bytes by the failure domain that stores them. */
  readonly inputBytes: ReadonlyMap<string, number>;
}

/**
 * Cost of one more running generation, in prompt tokens: it delays the others over a prompt as much
 * as the prefill of so many tokens.
 */
export const TOKENS_PER_RUNNING = 150;
/**
 * Weight of the tokens to prefill for this prompt, relative to those already queued for prefill.
 * The prefill of tokens that another engine caches is wasted and delays all generations beside it.
 */
const PREFILL_WEIGHT = 2;
/** Prompt tokens that cost as much as a megabyte transferred from another failure domain. */
const TOKENS_PER_FOREIGN_MEGABYTE = 300;
const BYTES_PER_MEGABYTE = 1_000_000;

/**
 * @param engine - an engine
 * @returns the uncached prompt tokens of its generations that have not started
 */
export function getWaitingTokens({ generations }: EngineRecord): number {
  return [...generations.values()]
    .reduce((sum, generation) => sum + (generation.hasStarted ? 0 : generation.prefillTokens), 0);
}

/** Returns the time to the first token, in prompt tokens that a usual engine reads meanwhile. */
function getCost(
  { engine, failureDomain, workTimeFactor }: EngineCandidate,
  demand: EngineDemand,
): number {
  const uncachedTokens = demand.promptTokens - getCachedTokens(engine, demand.parts);
  const foreignBytes = [...demand.inputBytes]
    .reduce((sum, [domain, bytes]) => sum + (domain === failureDomain ? 0 : bytes), 0);
  const workTokens = uncachedTokens * PREFILL_WEIGHT
    + getWaitingTokens(engine)
    + engine.generations.size * TOKENS_PER_RUNNING;
  return workTokens * workTimeFactor
    + (foreignBytes / BYTES_PER_MEGABYTE) * TOKENS_PER_FOREIGN_MEGABYTE;
}

/**
 * Chooses the engine with the least cost before the first token: the uncached tokens of this
 * prompt, the tokens queued for prefill and the running generations, all by the engine's speed, and
 * the inputs to transfer.
 *
 * Load pattern: prompts of thousands of tokens whose first parts are shared. Round robin prefills
 * shared parts on every engine, and queues long prompts behind one another while others idle.
 *
 * @param candidates - the engines that have room for the generation
 * @param demand - the needs of the generation
 * @returns the engine; null when there is no candidate
 */
export function chooseEngine(
  candidates: readonly EngineCandidate[],
  demand: EngineDemand,
): UpstreamId | null {
  let best: { id: UpstreamId; cost: number } | null = null;
  candidates.forEach((candidate) => {
    const cost = getCost(candidate, demand);
    if (best === null || cost < best.cost) {
      best = { id: candidate.engine.id, cost };
    }
  });
  return (best as { id: UpstreamId } | null)?.id ?? null;
}
