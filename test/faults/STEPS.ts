/** The steps of a request's and a host's life at which a fault is put in. */
export const STEPS = [
  'accept', 'admit', 'claim', 'dispatch', 'run', 'stream', 'answer', 'bill', 'drain', 'handOver',
  'configure', 'restart',
] as const;

/** A step at which a fault is put in. */
export type FaultStep = typeof STEPS[number];
