import type { BenchEntry } from './Bench.ts';

/** Every benchmark; a new one is one more line. */
export const BENCHES: readonly BenchEntry[] = [
  {
    name: 'claims',
    summary: 'platform writes and latency of claims; service while the platform is down',
    load: async () => ({ run: (await import('./claims.ts')).runClaims }),
  },
];
