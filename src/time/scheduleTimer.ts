/** Runs an action later; a process may end before that. */
export type Schedule = (delayMs: number, action: () => void) => void;

/**
 * Runs an action later, by a timer of the process that does not keep it alive.
 *
 * @param delayMs - how much later
 * @param action - what to run
 */
export function scheduleTimer(delayMs: number, action: () => void): void {
  setTimeout(action, delayMs).unref();
}
