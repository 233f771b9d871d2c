/** Consecutive refusals of a session. */
interface RefusedSession {
  readonly refusalCount: number;
  readonly firstRefusedAtMs: number;
}

/** A session is owed service once this many of its requests in a row were refused ... */
const OWED_REFUSALS = 3;
/** ... over at least this long, so that one moment of scarcity doesn't count as neglect. */
const OWED_AFTER_MS = 500;
/** Sessions whose last requests were refused; the oldest are forgotten beyond this number. */
const MAX_SESSIONS = 5_000;

/**
 * Counts the refusals of sessions since each was last served.
 *
 * Load pattern: many sessions compete for a scarce pool in order of slack. One whose requests need
 * more work than others is refused each time.
 */
export class SessionBook {
  /** By session, in the order of the first refusal since each was last served. */
  readonly #refused = new Map<string, RefusedSession>();

  /**
   * @param session - a session
   * @param nowMs - the current time
   * @returns whether its requests were refused again and again since it was last served
   */
  isOwed(session: string, nowMs: number): boolean {
    const refused = this.#refused.get(session);
    return refused !== undefined
      && refused.refusalCount >= OWED_REFUSALS
      && nowMs - refused.firstRefusedAtMs >= OWED_AFTER_MS;
  }

  /**
   * @param session - the session of a refused request
   * @param nowMs - the current time
   */
  recordRefused(session: string, nowMs: number): void {
    const { refusalCount = 0, firstRefusedAtMs = nowMs } = this.#refused.get(session) ?? {};
    this.#refused.set(session, { refusalCount: refusalCount + 1, firstRefusedAtMs });
    if (this.#refused.size > MAX_SESSIONS) {
      const [oldest = ''] = this.#refused.keys();
      this.#refused.delete(oldest);
    }
  }

  /** @param session - the session of a request that an engine runs */
  recordServed(session: string): void {
    this.#refused.delete(session);
  }
}
