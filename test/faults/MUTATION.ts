/** Defects injected into the system to prove that the check of each promise detects them. */
export const MUTATION = {
  /** Each answer is given twice. */
  answerTwice: 'answerTwice',
  /** Hosts treat cold upstreams as warm. */
  ignoreCold: 'ignoreCold',
  /** Hosts ignore drains of failure domains. */
  ignoreDomainDrain: 'ignoreDomainDrain',
  /** Completed answers lose their last character. */
  cutAnswer: 'cutAnswer',
  /** Every refusal states that nothing was run. */
  claimNotRun: 'claimNotRun',
  /** Non-repeatable stages are sent before their claim is durable. */
  dispatchBeforeClaim: 'dispatchBeforeClaim',
  /** Hosts ignore drains of upstreams. */
  ignoreUpstreamDrain: 'ignoreUpstreamDrain',
  /** A planned stop ends the process at once. */
  stopAtOnce: 'stopAtOnce',
  /** Hosts revert to an older configuration version. */
  revert: 'revert',
  /** Each attempt is booked twice. */
  bookTwice: 'bookTwice',
  /** Hosts lose all upstreams with the third configuration. */
  forgetUpstreams: 'forgetUpstreams',
} as const;

/** A defect injected into the system. */
export type Mutation = typeof MUTATION[keyof typeof MUTATION];
