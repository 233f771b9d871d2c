/** Outcome of a complete answer that belongs to the attempt. */
export interface ReadResult {
  readonly kind: 'result';
  readonly upstreamIncarnation: string;
  readonly output: string;
  readonly costMicros: number;
}

/** Outcome of an attempt that the upstream cancelled on request. */
export interface ReadCancelled {
  readonly kind: 'cancelled';
  readonly costMicros: number;
}

/** Outcome of an answer that can't be used. */
export interface ReadUnusable {
  readonly kind: 'unusable';
  readonly costMicros: number;
  readonly detail: string;
}

/** Outcome of reading an answer. */
export type ReadOutcome = ReadResult | ReadCancelled | ReadUnusable;

/** Reads the body of a successful answer. */
export interface AnswerReader {
  /**
   * Reads the next chunk of the body.
   *
   * @param chunk - the next bytes
   * @returns an outcome when the rest need not be read; null to continue
   */
  addChunk(chunk: Buffer): ReadOutcome | null;
  /**
   * Ends the answer after its last byte.
   *
   * @returns the outcome
   */
  end(): ReadOutcome;
}
