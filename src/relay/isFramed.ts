/** Headers that tell where a body ends, in lower case. */
const FRAMING_HEADERS: ReadonlySet<string> = new Set(['content-length', 'transfer-encoding']);

/**
 * @param rawHeaders - alternating names and values of an answer
 * @returns whether the head tells where the body ends; otherwise it ends with the connection, which
 *   a process that was killed closes in the same way
 */
export function isFramed(rawHeaders: readonly string[]): boolean {
  return rawHeaders.some((text, index) => (
    index % 2 === 0 && FRAMING_HEADERS.has(text.toLowerCase())));
}
