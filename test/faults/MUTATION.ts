/** Small faults put into the system on purpose, to show that each promise's check sees them. */
export const MUTATION = {
  /** An answer is handed out twice. */
  answerTwice: 'answerTwice',
  /** Hosts take cold upstreams for warm ones. */
  ignoreCold: 'ignoreCold',
  /** Hosts pass over drains of failure domains. */
  ignoreDomainDrain: 'ignoreDomainDrain',
  /** An answer loses its end. */
  cutAnswer: 'cutAnswer',
  /** Every refusal says that nothing was run. */
  claimNotRun: 'claimNotRun',
  /** Non-repeatable stages are sent before their claim is durable. */
  dispatchBeforeClaim: 'dispatchBeforeClaim',
  /** Hosts pass over drains of upstreams. */
  ignoreUpstreamDrain: 'ignoreUpstreamDrain',
  /** A planned stop ends the process at once. */
  stopAtOnce: 'stopAtOnce',
  /** A host takes back an older configuration. */
  revert: 'revert',
  /** Each attempt is booked twice. */
  bookTwice: 'bookTwice',
  /** Hosts forget the upstreams with the third configuration. */
  forgetUpstreams: 'forgetUpstreams',
} as const;

/** A small fault put into the system on purpose. */
export type Mutation = typeof MUTATION[keyof typeof MUTATION];
