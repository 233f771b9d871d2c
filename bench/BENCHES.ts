import type { BenchEntry } from './Bench.ts';

/** Every benchmark; a new one is one more line. */
export const BENCHES: readonly BenchEntry[] = [
  {
    name: 'overhead',
    summary: 'throughput and latency of an entry host to those of a bare relay',
    load: () => import('./overhead.ts'),
  },
  {
    name: 'claims',
    summary: 'platform writes and latency of claims; service while the platform is down',
    load: async () => ({ run: (await import('./claims.ts')).runClaims }),
  },
  {
    name: 'detect',
    summary: 'delay of rate detectors at equal false-alarm rates',
    load: () => import('./detect.ts'),
  },
  {
    name: 'attainment',
    summary: 'deadline attainment at 0.8 with a failing engine, goodput at 1.5 of capacity',
    load: () => import('./attainment.ts'),
  },
  {
    name: 'fleet',
    summary: 'control cost of real entry hosts by fleet size; time until a change is in force',
    load: async () => ({ run: (await import('./fleet.ts')).runFleet }),
  },
  {
    name: 'membership',
    summary: 'detection time and false suspicions under loss, many memberships in memory',
    load: async () => ({ run: (await import('./membership.ts')).runMembership }),
  },
  {
    name: 'memory',
    summary: 'heap of one core at the target table sizes',
    load: async () => ({ run: (await import('./memory.ts')).runMemory }),
  },
  {
    name: 'fairness',
    summary: 'attainment of the other accounts while one sends five times its share',
    load: () => import('./fairness.ts'),
  },
  {
    name: 'domain',
    summary: 'a failure domain leaves under load and returns with cold upstreams',
    load: () => import('./domain.ts'),
  },
  {
    name: 'placement',
    summary: 'worth of generations by who places them, under calm load, bursts and overload',
    load: () => import('./placement.ts'),
  },
  {
    name: 'step',
    summary: 'time and allocation of a core step against what exists',
    load: () => import('./step.ts'),
  },
];
