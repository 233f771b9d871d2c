/** Options of the quarantine. */
export interface QuarantineOptions {
  /** Crashes after which a request is not sent again. */
  readonly crashLimit: number;
  /** How long a suspect is kept after its last crash. */
  readonly retentionMs: number;
  /** Maximum number of suspects; those with the oldest last crash are evicted first. */
  readonly maxSuspects: number;
  /** How long after a crash a report sent before it may still arrive. */
  readonly reportLagMs: number;
  /** Peers that each change is announced to; they forward what is new to them. */
  readonly fanOut: number;
  /** Maximum number of records of each kind applied from one message. */
  readonly maxMessageRecords: number;
}

/** Default options of the quarantine. */
export const DEFAULT_QUARANTINE_OPTIONS: QuarantineOptions = {
  crashLimit: 2,
  retentionMs: 600_000,
  maxSuspects: 2000,
  reportLagMs: 5000,
  fanOut: 8,
  maxMessageRecords: 100,
};
