import type { RawAnswer } from './readRawAnswer.ts';

const HEAD_END = '\r\n\r\n';
const LAST_CHUNK = '\r\n0\r\n\r\n';

/**
 * Tells whether a caller takes an answer for complete (RFC 9112, section 8).
 *
 * @param answer - the answer, whose connection has ended
 * @returns whether the body has its whole length, its last chunk, or neither and no reset
 */
export function looksComplete({ text, isReset }: RawAnswer): boolean {
  const headEnd = text.indexOf(HEAD_END);
  if (headEnd < 0) {
    return false;
  }
  const head = text.slice(0, headEnd);
  const length = /^content-length: *(\d+)$/im.exec(head)?.[1];
  if (length !== undefined) {
    return text.length - headEnd - HEAD_END.length >= Number(length);
  }
  if (/^transfer-encoding: *chunked$/im.test(head)) {
    return text.endsWith(LAST_CHUNK);
  }
  return !isReset;
}
