/** A whole, matching result. */
export interface ReadResult {
  readonly kind: 'result';
  readonly upstreamIncarnation: string;
  readonly output: string;
  readonly costMicros: number;
}

/** The upstream stopped the attempt on request. */
export interface ReadCancelled {
  readonly kind: 'cancelled';
  readonly costMicros: number;
}

/** The answer can't be used. */
export interface ReadUnusable {
  readonly kind: 'unusable';
  readonly costMicros: number;
  readonly detail: string;
}

/** What an answer came to. */
export type ReadOutcome = ReadResult | ReadCancelled | ReadUnusable;

/** Reads the body of a successful answer. */
export interface AnswerReader {
  /**
   * @param chunk - the next bytes
   * @returns an outcome when the rest need not be read; null to go on
   */
  addChunk(chunk: Buffer): ReadOutcome | null;
  /**
   * @returns what the answer came to, after its last byte
   */
  end(): ReadOutcome;
}
