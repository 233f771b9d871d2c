import type { BenchEntry } from './Bench.ts';

/** All benchmarks; a new one is added here. */
export const BENCHES: readonly BenchEntry[] = [
  {
    name: 'overhead',
    summary: 'throughput and latency of an entry host compared with a bare relay',
    load: () => import('./overhead.ts'),
  },
  {
    name: 'claims',
    summary: 'platform writes and latency of claims; requests served during a platform outage',
    load: async () => ({ run: (await import('./claims.ts')).runClaims }),
  },
  {
    name: 'detect',
    summary: 'detection delay of rate detectors at equal false alarm rates',
    load: () => import('./detect.ts'),
  },
  {
    name: 'attainment',
    summary: 'deadline attainment at 0.8 with a failing engine, goodput at 1.5 of capacity',
    load: () => import('./attainment.ts'),
  },
  {
    name: 'fleet',
    summary: 'control overhead of real entry hosts by fleet size; time until a change is in force',
    load: async () => ({ run: (await import('./fleet.ts')).runFleet }),
  },
  {
    name: 'membership',
    summary: 'detection time and false suspicions under message loss, simulated in memory',
    load: async () => ({ run: (await import('./membership.ts')).runMembership }),
  },
  {
    name: 'memory',
    summary: 'heap that one core uses at the target table sizes',
    load: async () => ({ run: (await import('./memory.ts')).runMemory }),
  },
  {
    name: 'fairness',
    summary: 'attainment of the other accounts while one sends five times its share',
    load: () => import('./fairness.ts'),
  },
  {
    name: 'domain',
    summary: 'a failure domain is drained under load and restored with cold upstreams',
    load: () => import('./domain.ts'),
  },
  {
    name: 'placement',
    summary: 'worth of generations by placer, under calm load, bursts and overload',
    load: () => import('./placement.ts'),
  },
  {
    name: 'step',
    summary: 'time and heap growth of a core step by numbers of requests, upstreams, accounts',
    load: () => import('./step.ts'),
  },
];
