/** A fault of the soak, by the component it affects. */
export type SoakFault =
  | { readonly kind: 'host'; readonly how: 'terminate' | 'kill' | 'pause' | 'reload' }
  /** One host loses its path to all upstreams; its callers, the store and other hosts reach it. */
  | { readonly kind: 'strandedHost' }
  /** One host's path to the store is cut both ways, or its answers alone are lost. */
  | { readonly kind: 'storePath'; readonly how: 'silent' | 'cutAnswers' }
  | { readonly kind: 'allHosts'; readonly how: 'terminate' | 'kill' }
  | {
    readonly kind: 'upstream';
    readonly how: 'crash' | 'drain' | 'hold' | 'leave' | 'backOff' | 'restart';
  }
  | {
    readonly kind: 'pool';
    readonly how: 'refuse' | 'fail' | 'hang' | 'break' | 'hold' | 'backOff';
  }
  | {
    readonly kind: 'connection';
    readonly how: 'delay' | 'silent' | 'cutAnswers' | 'resetAnswers' | 'reset';
    readonly target: 'upstream' | 'store';
  }
  | { readonly kind: 'store'; readonly how: 'down' | 'answersLost' | 'slow' | 'forget' }
  /** The store is away for a moment and comes back from a copy of some seconds ago. */
  | { readonly kind: 'storeCopy' }
  /** Upstreams advertise a limit for some time; a later limit replaces an earlier one. */
  | {
    readonly kind: 'limit';
    readonly scope: 'upstream' | 'pool' | 'oneOfEachPool' | 'all';
    readonly requestsPerSecond: number;
  }
  | { readonly kind: 'manifest' };

/** A fault with its start and duration. */
export interface PlannedFault {
  readonly atMs: number;
  readonly durationMs: number;
  /** Number whose remainder selects the affected host or upstream. */
  readonly targetNumber: number;
  readonly fault: SoakFault;
}
