import type { RandomSource } from '../../src/lib/RandomSource.ts';

/** A fault of the soak, by where it strikes. */
export type SoakFault =
  | { readonly kind: 'host'; readonly how: 'terminate' | 'kill' | 'pause' | 'reload' }
  | { readonly kind: 'allHosts'; readonly how: 'terminate' | 'kill' }
  | { readonly kind: 'upstream'; readonly how: 'crash' | 'drain' | 'hold' }
  | { readonly kind: 'pool'; readonly how: 'refuse' | 'fail' | 'hang' | 'break' | 'hold' }
  | {
    readonly kind: 'connection';
    readonly how: 'delay' | 'silent' | 'cutAnswers' | 'reset';
    readonly target: 'upstream' | 'store';
  }
  | { readonly kind: 'store'; readonly how: 'down' | 'answersLost' | 'slow' | 'forget' }
  | { readonly kind: 'manifest' };

/** A fault with its time. */
export interface PlannedFault {
  readonly atMs: number;
  readonly durationMs: number;
  /** Chooses which host or upstream, by its remainder. */
  readonly pick: number;
  readonly fault: SoakFault;
}

const FAULTS: readonly SoakFault[] = [
  { kind: 'host', how: 'terminate' },
  { kind: 'host', how: 'kill' },
  { kind: 'host', how: 'pause' },
  { kind: 'host', how: 'reload' },
  { kind: 'upstream', how: 'crash' },
  { kind: 'upstream', how: 'drain' },
  { kind: 'upstream', how: 'hold' },
  { kind: 'allHosts', how: 'terminate' },
  { kind: 'allHosts', how: 'kill' },
  { kind: 'pool', how: 'refuse' },
  { kind: 'pool', how: 'fail' },
  { kind: 'pool', how: 'hang' },
  { kind: 'pool', how: 'break' },
  { kind: 'pool', how: 'hold' },
  { kind: 'connection', how: 'delay', target: 'upstream' },
  { kind: 'connection', how: 'silent', target: 'upstream' },
  { kind: 'connection', how: 'cutAnswers', target: 'upstream' },
  { kind: 'connection', how: 'reset', target: 'upstream' },
  { kind: 'connection', how: 'silent', target: 'store' },
  { kind: 'connection', how: 'reset', target: 'store' },
  { kind: 'store', how: 'down' },
  { kind: 'store', how: 'answersLost' },
  { kind: 'store', how: 'slow' },
  { kind: 'store', how: 'forget' },
  { kind: 'manifest' },
];
const MIN_DURATION_MS = 300;
const DURATION_SPREAD_MS = 2_500;
/** Faults of the store last longer, so that leases lapse meanwhile. */
const STORE_FACTOR = 3;
const MEAN_GAP_MS = 600;
const PICKS = 1_000;

/**
 * Draws faults that come in series and overlap.
 *
 * @param random - the seed's randomness
 * @param lengthMs - span in which faults begin
 * @returns the faults in the order of their times
 */
export function createSoakPlan(random: RandomSource, lengthMs: number): PlannedFault[] {
  const planned: PlannedFault[] = [];
  let atMs = 0;
  while (atMs < lengthMs) {
    const fault = FAULTS[Math.floor(random.getFraction() * FAULTS.length)];
    if (fault !== undefined) {
      planned.push({
        atMs,
        durationMs: (MIN_DURATION_MS + random.getFraction() * DURATION_SPREAD_MS)
          * (fault.kind === 'store' ? STORE_FACTOR : 1),
        pick: Math.floor(random.getFraction() * PICKS),
        fault,
      });
    }
    atMs += -Math.log(1 - random.getFraction()) * MEAN_GAP_MS;
  }
  return planned;
}
