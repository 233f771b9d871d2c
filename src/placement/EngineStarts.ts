import type { UpstreamId } from '../lib/ids.ts';
import { UpstreamSpeeds } from '../speeds/UpstreamSpeeds.ts';
import type { Clock } from '../time/Clock.ts';
import { getWaitingTokens, TOKENS_PER_RUNNING } from './chooseEngine.ts';
import type { EngineRecord } from './EngineTable.ts';
import type { PlacementReport, PlacementRequest } from './PlacementRequest.ts';

interface PendingStart {
  readonly engineId: UpstreamId;
  /** Kind of request. */
  readonly kind: string;
  readonly placedAtMs: number;
  /** Prompt tokens that the engine had to read before its first token, and what delays them. */
  readonly workTokens: number;
}

/** Weight of the newest generation in the moving averages. */
const GAIN = 0.1;
/** Kinds of request whose averages are kept; names of routes change with the configuration. */
const MAX_KINDS = 1_000;
/** A generation that has not started after this time never will; its caller has left. */
const MAX_START_MS = 30_000;

/** Measures the time from a placement to the first token, and by it the speed of each engine. */
export class EngineStarts {
  readonly #clock: Clock;

  readonly #speeds: UpstreamSpeeds;

  readonly #pending = new Map<string, PendingStart>();

  /** Moving average of the time to the first token, of all kinds of request. */
  #averageMs = 0;

  /**
   * The same by kind of request, the one that started least recently first: long prompts take
   * several times as long as short ones.
   */
  readonly #averagesMs = new Map<string, number>();

  /** The same for each token of work; null before the first generation. */
  #averageMsPerToken: number | null = null;

  /**
   * @param clock - the source of the current time
   */
  constructor(clock: Clock) {
    this.#clock = clock;
    this.#speeds = new UpstreamSpeeds(clock);
  }

  /**
   * @param kind - a kind of request
   * @returns the time that one usually takes from its placement to its first token; that of all
   * kinds while none of this one has started
   */
  getExpectedMs(kind: string): number {
    return this.#averagesMs.get(kind) ?? this.#averageMs;
  }

  /**
   * @param engine - the engine at which a request is placed, with the request already counted
   * @param request - the request
   */
  recordPlaced(engine: EngineRecord, { requestId, kind }: PlacementRequest): void {
    const nowMs = this.#clock.getMonotonicMs();
    this.#pending.forEach(({ placedAtMs }, id) => {
      if (nowMs - placedAtMs > MAX_START_MS) {
        this.#pending.delete(id);
      }
    });
    this.#pending.set(requestId, {
      engineId: engine.id,
      kind,
      placedAtMs: nowMs,
      workTokens: getWaitingTokens(engine) + engine.generations.size * TOKENS_PER_RUNNING,
    });
  }

  /** @param report - the progress of a placed request, which may tell the speed of its engine */
  recordReport({
    kind, requestId, upstreamId, workTimeFactor,
  }: PlacementReport): void {
    if (workTimeFactor !== undefined) {
      this.#speeds.recordReported(upstreamId, workTimeFactor);
    }
    const pending = this.#pending.get(requestId);
    if (pending?.engineId !== upstreamId) {
      return;
    }
    this.#pending.delete(requestId);
    if (kind === 'started') {
      this.#recordStart(pending);
    }
  }

  /**
   * @param engineId - an engine
   * @returns the time that work takes there now, relative to the usual time in its pool
   */
  getWorkTimeFactor(engineId: UpstreamId): number {
    return this.#speeds.getWorkTimeFactor(engineId);
  }

  /** @param engineId - an engine that is gone */
  remove(engineId: UpstreamId): void {
    this.#speeds.remove(engineId);
  }

  #recordStart({
    engineId, kind, placedAtMs, workTokens,
  }: PendingStart): void {
    const tookMs = this.#clock.getMonotonicMs() - placedAtMs;
    const msPerToken = tookMs / workTokens;
    this.#averageMs += GAIN * (tookMs - this.#averageMs);
    this.#recordKind(kind, tookMs);
    this.#averageMsPerToken ??= msPerToken;
    if (this.#averageMsPerToken > 0) {
      this.#speeds.recordObserved(engineId, msPerToken / this.#averageMsPerToken);
    }
    this.#averageMsPerToken += GAIN * (msPerToken - this.#averageMsPerToken);
  }

  #recordKind(kind: string, tookMs: number): void {
    const averageMs = this.getExpectedMs(kind);
    this.#averagesMs.delete(kind);
    this.#averagesMs.set(kind, averageMs + GAIN * (tookMs - averageMs));
    const [oldest] = this.#averagesMs.keys();
    if (this.#averagesMs.size > MAX_KINDS && oldest !== undefined) {
      this.#averagesMs.delete(oldest);
    }
  }
}
