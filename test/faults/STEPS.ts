/** Steps in the life cycle of requests and hosts at which faults are injected. */
export const STEPS = [
  'accept', 'admit', 'claim', 'dispatch', 'run', 'stream', 'answer', 'bill', 'drain', 'handOver',
  'configure', 'restart',
] as const;

/** A step at which a fault is injected. */
export type FaultStep = typeof STEPS[number];
