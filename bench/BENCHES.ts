import type { BenchEntry } from './Bench.ts';

/** Every benchmark; a new one is one more line. */
export const BENCHES: readonly BenchEntry[] = [
];
