import type { AnswerReader, ReadOutcome, ReadUnusable } from './AnswerReader.ts';
import { CHUNK_OVERHEAD_BYTES, MAX_ANSWER_BYTES } from './MAX_ANSWER_BYTES.ts';
import { getCostMicros, parseJsonObject } from './parseJsonObject.ts';

/** Reads the answer of a stage pool or plain service: one JSON object. */
export class WholeAnswerReader implements AnswerReader {
  readonly #attemptId: string;

  readonly #chunks: Buffer[] = [];

  #sizeBytes = 0;

  /**
   * @param attemptId - the attempt whose answer is expected
   */
  constructor(attemptId: string) {
    this.#attemptId = attemptId;
  }

  /** @inheritdoc */
  addChunk(chunk: Buffer): ReadOutcome | null {
    this.#sizeBytes += chunk.length + CHUNK_OVERHEAD_BYTES;
    if (this.#sizeBytes > MAX_ANSWER_BYTES) {
      return WholeAnswerReader.#getUnusable('The answer is too large.');
    }
    this.#chunks.push(chunk);
    return null;
  }

  /** @inheritdoc */
  end(): ReadOutcome {
    const [only] = this.#chunks;
    const bytes = this.#chunks.length === 1 && only ? only : Buffer.concat(this.#chunks);
    const fields = parseJsonObject(bytes.toString('utf8'));
    if (fields === null) {
      return WholeAnswerReader.#getUnusable('The answer is not a complete JSON object.');
    }
    const { attemptId, incarnation, output } = fields;
    if (attemptId !== this.#attemptId) {
      return WholeAnswerReader.#getUnusable('The answer belongs to another attempt.');
    }
    if (typeof incarnation !== 'string' || typeof output !== 'string') {
      return WholeAnswerReader.#getUnusable('The answer lacks its incarnation or output.');
    }
    const costMicros = getCostMicros(fields);
    return {
      kind: 'result', upstreamIncarnation: incarnation, output, costMicros,
    };
  }

  static #getUnusable(detail: string): ReadUnusable {
    return { kind: 'unusable', costMicros: 0, detail };
  }
}
