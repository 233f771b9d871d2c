/** A piece of a prompt that requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a caller says of a generation. */
export interface GenerationProfile {
  readonly promptTokens: number;
  /** Most tokens the answer may have. */
  readonly maxOutputTokens: number;
  /** The prompt's parts in order; the last one belongs to the request or its session. */
  readonly parts: readonly PromptPart[];
}

/** What the headers of a request say, decoded. */
export interface RequestProfile {
  /** Names this client attempt; unique. */
  readonly id: string;
  /** How long the caller waits; null when it does not say. */
  readonly remainingMs: number | null;
  readonly callerKey: string | null;
  readonly generation: GenerationProfile | null;
  /** Pieces of each stage of the route. */
  readonly pieceCounts: readonly number[];
  /** What first stages work on. */
  readonly pieceKey: string | null;
  /** The event after which a stream goes on; null for a stream from its start. */
  readonly lastEventId: number | null;
}

/** A whole request of a caller. */
export interface CallerRequest {
  readonly profile: RequestProfile;
  readonly method: string;
  /** Path and query as they were sent. */
  readonly path: string;
  readonly host: string;
  /** Names and values in turn, as they were sent. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  /** Monotonic time of its arrival. */
  readonly arrivedAtMs: number;
}
