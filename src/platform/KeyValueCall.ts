/** Classes into which a host's call budget for the platform is split. */
export const KEY_VALUE_CLASS = {
  lease: 'lease',
  claim: 'claim',
  configuration: 'configuration',
  cost: 'cost',
} as const;

/** A member of {@link KEY_VALUE_CLASS}. */
export type KeyValueClass = typeof KEY_VALUE_CLASS[keyof typeof KEY_VALUE_CLASS];

/** Reads a key. */
export interface GetCall {
  readonly kind: 'get';
  readonly key: string;
}

/** Replaces the value if the key has the expected version; 0 expects a missing key. */
export interface CompareAndSwapCall {
  readonly kind: 'compareAndSwap';
  readonly key: string;
  readonly expectedVersion: number;
  readonly value: string;
}

/** Waits for a version above the given one, then returns what a get returns. */
export interface WatchCall {
  readonly kind: 'watch';
  readonly key: string;
  readonly afterVersion: number;
  readonly waitMs: number;
}

/** A call to the platform's key-value service. */
export type KeyValueCall = GetCall | CompareAndSwapCall | WatchCall;

/** The value of the key. The version of a key increases by at least one with each write. */
export interface ValueAnswer {
  readonly kind: 'value';
  readonly version: number;
  readonly value: string;
}

/** The key does not exist. */
export interface MissingAnswer {
  readonly kind: 'missing';
}

/** The swap took effect and gave the key this version. */
export interface SwappedAnswer {
  readonly kind: 'swapped';
  readonly version: number;
}

/** The swap had no effect; holds the current state, version 0 and empty for a missing key. */
export interface ConflictAnswer {
  readonly kind: 'conflict';
  readonly version: number;
  readonly value: string;
}

/** The call certainly had no effect: not sent, or refused by the budget or the service. */
export interface UnavailableAnswer {
  readonly kind: 'unavailable';
  readonly detail: string;
}

/** The answer was lost; a swap may have taken effect. */
export interface UnknownAnswer {
  readonly kind: 'unknown';
  readonly detail: string;
}

/** The answer to a call. */
export type KeyValueAnswer =
  | ValueAnswer | MissingAnswer | SwappedAnswer
  | ConflictAnswer | UnavailableAnswer | UnknownAnswer;
