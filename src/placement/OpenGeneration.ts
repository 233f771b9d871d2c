import type { UpstreamId } from '../lib/ids.ts';

/** A generation that an entry host has open at an engine, as it states it to a coordinator. */
export interface OpenGeneration {
  readonly requestId: string;
  readonly upstreamId: UpstreamId;
  /** Upper bound on its memory: its prompt and the most that it may generate. */
  readonly memoryTokens: number;
  /** Time until its deadline, after which no engine works on it. */
  readonly remainingMs: number;
}
