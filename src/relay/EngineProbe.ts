import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { EngineFigures } from '../placement/EngineRoom.ts';

/** Result of a probe of an engine. */
export type ProbeResult =
  /** The engine has answered, so it notices what happens to its connections. */
  | {
    readonly kind: 'answered';
    /** Start of its process as a Unix time; null when the answer does not tell it. */
    readonly startedAtMs: number | null;
    /** What it held some hundred ms ago; absent when the answer does not tell it. */
    readonly figures?: EngineFigures;
  }
  /** Another upstream has the address now. */
  | { readonly kind: 'other' }
  /** No connection could be opened, or it broke. */
  | { readonly kind: 'unreachable' }
  /** The connection was accepted, but no answer came in time. */
  | { readonly kind: 'silent' };

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
  /**
   * Sends the same call over a kept connection, and opens one only if none is free.
   *
   * @param entry - the engine
   * @param timeoutMs - time for the connection and the answer
   * @returns the result
   */
  probeKept(entry: UpstreamEntry, timeoutMs: number): Promise<ProbeResult>;
}
