/** A part of a prompt that several requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Description of a generation in the headers of its request. */
export interface GenerationProfile {
  readonly promptTokens: number;
  /** Largest number of tokens in the answer. */
  readonly maxOutputTokens: number;
  /** The prompt's parts in order; the last one belongs to the request or its session. */
  readonly parts: readonly PromptPart[];
}

/** Decoded headers of a request. */
export interface RequestProfile {
  /** Unique id of this client attempt. */
  readonly id: string;
  /** Time for which the caller waits; null when it names none. */
  readonly remainingMs: number | null;
  readonly callerKey: string | null;
  readonly generation: GenerationProfile | null;
  /** Number of pieces of each stage of the route. */
  readonly pieceCounts: readonly number[];
  /** Identifies the input of the first stages. */
  readonly pieceKey: string | null;
  /** Id of the event after which the stream resumes; null for a stream from its start. */
  readonly lastEventId: number | null;
  /** Id of the client attempt that brought the stream's first event; null for a new stream. */
  readonly resumedRequestId: string | null;
}

/** A request of a caller with its whole body. */
export interface CallerRequest {
  readonly profile: RequestProfile;
  readonly method: string;
  /** Path and query as received. */
  readonly path: string;
  readonly host: string;
  /** Alternating names and values as received. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  /** Monotonic time of its arrival. */
  readonly arrivedAtMs: number;
}
