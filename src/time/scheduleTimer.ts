/** Runs an action after a delay, unless the process exits first. */
export type Schedule = (delayMs: number, action: () => void) => void;

/**
 * Runs an action after a delay, by a timer that does not keep the process alive.
 *
 * @param delayMs - delay before the action
 * @param action - the action to run
 */
export function scheduleTimer(delayMs: number, action: () => void): void {
  setTimeout(action, delayMs).unref();
}
