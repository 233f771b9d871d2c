import type { Readable } from 'node:stream';
import { AnswerTooLargeError } from './AnswerTooLargeError.ts';
import { CHUNK_OVERHEAD_BYTES, MAX_ANSWER_BYTES } from './MAX_ANSWER_BYTES.ts';

/**
 * Reads a whole body. A body that exceeds the limit is aborted and its connection closed.
 *
 * @param body - the body, not read yet
 * @param maxBytes - the size limit, which also counts the overhead of chunks
 * @returns its text, decoded as UTF-8
 * @throws AnswerTooLargeError when the body exceeds the limit
 */
export function readBoundedText(body: Readable, maxBytes = MAX_ANSWER_BYTES): Promise<string> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    body.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length + CHUNK_OVERHEAD_BYTES;
      if (sizeBytes > maxBytes) {
        chunks.length = 0;
        body.destroy(new AnswerTooLargeError('the body', `${maxBytes} bytes`));
      } else {
        chunks.push(chunk);
      }
    });
    body.on('error', reject);
    body.on('end', () => resolve(Buffer.concat(chunks).toString('utf8')));
    body.on('close', () => reject(new Error('the body ended before it was complete')));
  });
}
