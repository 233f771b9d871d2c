/** Statuses by which callers are told that a request has not run and will not. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * @param status - status of an answer
 * @returns whether a caller takes the answer for a promise that its request has not run
 */
export function isRefusalStatus(status: number): boolean {
  return REFUSAL_STATUSES.has(status);
}
