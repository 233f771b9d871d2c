/** Options of the quarantine. */
export interface QuarantineOptions {
  /** Deaths after which a request is not sent again. */
  readonly crashLimit: number;
  /** How long a suspect is remembered after its last death. */
  readonly retentionMs: number;
  /** Suspects kept at most; those with the oldest last death go first. */
  readonly maxSuspects: number;
  /** How long after a crash a report of the old incarnation may still be a late one. */
  readonly reportLagMs: number;
  /** Peers told of each change; they pass on what is new to them. */
  readonly fanOut: number;
  /** Records taken from one message. */
  readonly maxMessageRecords: number;
}

/** Defaults of the quarantine's options. */
export const DEFAULT_QUARANTINE_OPTIONS: QuarantineOptions = {
  crashLimit: 2,
  retentionMs: 600_000,
  maxSuspects: 2000,
  reportLagMs: 5000,
  fanOut: 8,
  maxMessageRecords: 100,
};
