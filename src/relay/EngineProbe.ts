import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';

/** Result of a probe of an engine over a new connection. */
export type ProbeResult =
  /** The engine has answered, so it notices what happens to its connections. */
  | 'answered'
  /** No connection could be opened, or it broke. */
  | 'unreachable'
  /** The connection was accepted, but no answer came in time. */
  | 'silent';

/** Finds out whether engines respond at all; implemented by an adapter. */
export interface EngineProbe {
  /**
   * Sends a call that an engine answers at once, however many requests wait there.
   *
   * @param entry - the engine
   * @param timeoutMs - time for the answer, once connected
   * @returns the result
   */
  probe(entry: UpstreamEntry, timeoutMs: number): Promise<ProbeResult>;
}
