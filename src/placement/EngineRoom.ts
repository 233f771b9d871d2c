import type { Directory } from '../directory/Directory.ts';
import type { EngineLimits } from '../directory/ServingConfiguration.ts';
import type { HostId, UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import type { EngineTable } from './EngineTable.ts';
import type { PlacementReport, PlacementRequest } from './PlacementRequest.ts';

/** Dependencies of an {@link EngineRoom}. */
export interface EngineRoomOptions {
  readonly clock: Clock;
  /** Knows the capacity of the engines. */
  readonly directory: Directory;
  /** The generations that this coordinator has placed. */
  readonly engines: EngineTable;
  /** @param engineId - an engine whose report is needed; passed to `recordFigures` when known */
  readonly requestReport: (engineId: UpstreamId) => void;
}

/** What an engine says that it holds. */
export interface EngineFigures {
  /** Number of generations that run or wait there. */
  readonly heldCount: number;
  /** Memory in use that can't be freed; null when the engine does not tell it. */
  readonly usedTokens: number | null;
}

interface StatedGeneration {
  readonly hostId: HostId;
  readonly memoryTokens: number;
  readonly untilMs: number;
}

/** What an engine holds beyond what this coordinator knows. */
interface Surplus {
  readonly count: number;
  readonly tokens: number;
  readonly atMs: number;
}

interface KnownUse {
  readonly count: number;
  readonly tokens: number;
}

/**
 * Fraction of an engine's memory that a coordinator promises while another one may promise the
 * rest: the engine holds what this one did not place, or its figures are not known. Two
 * coordinators that keep to it can't exceed the memory together.
 */
const SHARED_FRACTION = 0.5;
/** Time for which nothing is placed at an engine that has been asked what it holds. */
const MAX_REPORT_WAIT_MS = 150;
/** Time after which an engine that tells nothing is used in full. */
const MAX_UNHEARD_MS = 2_000;
/** Figures of an engine may still count a generation whose end was reported within this time. */
const RECENT_END_MS = 100;
/** Age of figures of an engine beyond which they say nothing; most generations end sooner. */
const FIGURES_TTL_MS = 2_000;
/** Statements about other coordinators this long after the last ones tell of a new change. */
const TAKE_OVER_GAP_MS = 2_000;
/** An entry host's statement of a generation counts for this long after the deadline. */
const RETAIN_AFTER_DEADLINE_MS = 500;
/** Weight of the newest request in the average size. */
const SIZE_GAIN = 0.05;
/** Size of a generation that only the engine knows of, in average sizes: some are far larger. */
const UNKNOWN_SIZE_FACTOR = 2;
const NO_USE: KnownUse = { count: 0, tokens: 0 };

/**
 * @param request - a request
 * @returns the upper bound on its memory at an engine
 */
export function getMemoryTokens(
  { promptTokens, maxOutputTokens }: Pick<PlacementRequest, 'promptTokens' | 'maxOutputTokens'>,
): number {
  return promptTokens + maxOutputTokens;
}

/**
 * Keeps the memory that is promised at each engine within what the engine has: the prompt and the
 * longest output of each generation that was placed there and is not over, whoever placed it.
 *
 * It counts what this coordinator placed, what entry hosts state that others have placed, and what
 * the engine holds beyond these by its own figures.
 *
 * Load pattern: long prompts, of which fewer fit an engine's memory than its batch has places. An
 * engine that holds more than its memory crashes, with all its generations.
 */
export class EngineRoom {
  readonly #options: EngineRoomOptions;

  readonly #stated = new Map<UpstreamId, Map<string, StatedGeneration>>();

  readonly #surpluses = new Map<UpstreamId, Surplus>();

  /** When generations have ended lately, by engine. */
  readonly #endsAtMs = new Map<UpstreamId, readonly number[]>();

  /** Engines whose report was requested since this host has begun to place, and when. */
  readonly #requestedAtMs = new Map<UpstreamId, number>();

  /** Those of them that have given no figures. */
  readonly #silentIds = new Set<UpstreamId>();

  /** When this host has last begun to place for others; null before. */
  #tookOverAtMs: number | null = null;

  #lastStatedAtMs = -Infinity;

  #averageTokens = 0;

  /**
   * @param options - see {@link EngineRoomOptions}
   */
  constructor(options: EngineRoomOptions) {
    this.#options = options;
  }

  /**
   * Learns from a request what its entry host has open that another coordinator placed. A host's
   * statement replaces the one before.
   *
   * @param request - the request
   */
  recordRequest(request: PlacementRequest): void {
    const { hostId, openGenerations } = request;
    const nowMs = this.#options.clock.getMonotonicMs();
    const memoryTokens = getMemoryTokens(request);
    this.#averageTokens += this.#averageTokens === 0
      ? memoryTokens
      : SIZE_GAIN * (memoryTokens - this.#averageTokens);
    this.#stated.forEach((generations, engineId) => {
      generations.forEach((generation, requestId) => {
        if (generation.hostId === hostId || generation.untilMs <= nowMs) {
          generations.delete(requestId);
        }
      });
      if (generations.size === 0) {
        this.#stated.delete(engineId);
      }
    });
    openGenerations.forEach((open) => {
      const generations = this.#stated.get(open.upstreamId) ?? new Map();
      this.#stated.set(open.upstreamId, generations.set(open.requestId, {
        hostId,
        memoryTokens: open.memoryTokens,
        untilMs: nowMs + open.remainingMs + RETAIN_AFTER_DEADLINE_MS,
      }));
    });
    const isNewChange = openGenerations.length > 0
      && nowMs - this.#lastStatedAtMs > TAKE_OVER_GAP_MS;
    if (openGenerations.length > 0) {
      this.#lastStatedAtMs = nowMs;
    }
    if (this.#tookOverAtMs === null || isNewChange) {
      this.#tookOverAtMs = nowMs;
      this.#requestedAtMs.clear();
      this.#silentIds.clear();
    }
  }

  /**
   * Compares what an engine holds with what is known of it.
   *
   * @param engineId - the engine
   * @param figures - what it holds; null when it was asked and gave no figures
   */
  recordFigures(engineId: UpstreamId, figures: EngineFigures | null): void {
    if (figures === null) {
      this.#silentIds.add(engineId);
      return;
    }
    const known = this.#getKnownUse(engineId);
    const knownCount = known.count + this.#getRecentEnds(engineId).length;
    this.#surpluses.set(engineId, {
      count: Math.max(0, figures.heldCount - knownCount),
      tokens: Math.max(0, (figures.usedTokens ?? 0) - known.tokens),
      atMs: this.#options.clock.getMonotonicMs(),
    });
  }

  /** @param report - the progress of a placed request, which may tell what its engine holds */
  recordReport({ kind, upstreamId, heldCount }: PlacementReport): void {
    if (kind !== 'started') {
      const nowMs = this.#options.clock.getMonotonicMs();
      this.#endsAtMs.set(upstreamId, [...this.#getRecentEnds(upstreamId), nowMs]);
    }
    if (heldCount !== undefined) {
      this.recordFigures(upstreamId, { heldCount, usedTokens: null });
    }
  }

  /**
   * @param request - a request
   * @returns whether an engine of its pool that holds nothing else can hold it
   */
  canHold(request: PlacementRequest): boolean {
    return getMemoryTokens(request) <= (this.#getLimits(request)?.memoryTokens ?? Infinity);
  }

  /**
   * @param engineId - an engine
   * @param request - a request
   * @returns whether the request may be placed there
   */
  hasRoom(engineId: UpstreamId, request: PlacementRequest): boolean {
    const limits = this.#getLimits(request);
    if (limits === null) {
      return true;
    }
    const known = this.#getKnownUse(engineId);
    if (known.count >= limits.slots) {
      return false;
    }
    const knowledge = this.#getKnowledge(engineId);
    if (knowledge === 'awaited') {
      return false;
    }
    const unknownTokens = this.#getUnknownTokens(engineId);
    const isShared = unknownTokens > 0 || knowledge === 'none';
    const promisedTokens = known.tokens + getMemoryTokens(request);
    return promisedTokens <= limits.memoryTokens * (isShared ? SHARED_FRACTION : 1)
      && promisedTokens + unknownTokens <= limits.memoryTokens;
  }

  /**
   * Promises the memory of a request at an engine.
   *
   * @param engineId - the engine
   * @param request - the request that is placed there
   */
  place(engineId: UpstreamId, request: PlacementRequest): void {
    this.#options.engines.place(
      engineId,
      request.requestId,
      request.parts,
      getMemoryTokens(request),
      this.#getLimits(request)?.memoryTokens ?? Infinity,
    );
  }

  /** @param engineId - an engine that is gone */
  remove(engineId: UpstreamId): void {
    this.#stated.delete(engineId);
    this.#surpluses.delete(engineId);
    this.#endsAtMs.delete(engineId);
    this.#requestedAtMs.delete(engineId);
    this.#silentIds.delete(engineId);
  }

  /** Returns the capacity of each engine of a pool; null when it is not limited. */
  #getLimits({ poolId }: PlacementRequest): EngineLimits | null {
    return this.#options.directory.configuration?.pools.get(poolId)?.engine ?? null;
  }

  #getKnownUse(engineId: UpstreamId): KnownUse {
    const own = this.#options.engines.get(engineId).generations;
    const nowMs = this.#options.clock.getMonotonicMs();
    const stated = [...this.#stated.get(engineId) ?? []]
      .filter(([requestId, { untilMs }]) => untilMs > nowMs && !own.has(requestId))
      .map(([, generation]) => generation);
    return [...own.values(), ...stated].reduce((use, { memoryTokens }) => ({
      count: use.count + 1, tokens: use.tokens + memoryTokens,
    }), NO_USE);
  }

  /** Returns the surplus by the last figures of an engine; null when they are too old. */
  #getSurplus(engineId: UpstreamId): Surplus | null {
    const surplus = this.#surpluses.get(engineId);
    const isRecent = surplus !== undefined
      && this.#options.clock.getMonotonicMs() - surplus.atMs <= FIGURES_TTL_MS;
    return isRecent ? surplus : null;
  }

  #getUnknownTokens(engineId: UpstreamId): number {
    const surplus = this.#getSurplus(engineId);
    if (surplus === null) {
      return 0;
    }
    const byCount = surplus.count * UNKNOWN_SIZE_FACTOR * this.#averageTokens;
    return surplus.count === 0 ? 0 : Math.max(byCount, surplus.tokens);
  }

  /** Returns the times of the ends that an engine's figures may not reflect yet. */
  #getRecentEnds(engineId: UpstreamId): readonly number[] {
    const sinceMs = this.#options.clock.getMonotonicMs() - RECENT_END_MS;
    return (this.#endsAtMs.get(engineId) ?? []).filter((atMs) => atMs > sinceMs);
  }

  /**
   * Tells whether an engine's figures are known since this host has begun to place. Requests its
   * report once if they are not; nothing is placed there until it has come, or should have.
   */
  #getKnowledge(engineId: UpstreamId): 'figures' | 'awaited' | 'none' {
    const tookOverAtMs = this.#tookOverAtMs ?? -Infinity;
    const nowMs = this.#options.clock.getMonotonicMs();
    if ((this.#surpluses.get(engineId)?.atMs ?? -Infinity) >= tookOverAtMs) {
      return 'figures';
    }
    if (nowMs - tookOverAtMs > MAX_UNHEARD_MS) {
      return 'figures';
    }
    if (!this.#requestedAtMs.has(engineId)) {
      this.#requestedAtMs.set(engineId, nowMs);
      this.#options.requestReport(engineId);
    }
    const waitedMs = nowMs - (this.#requestedAtMs.get(engineId) ?? nowMs);
    return this.#silentIds.has(engineId) || waitedMs > MAX_REPORT_WAIT_MS ? 'none' : 'awaited';
  }
}
