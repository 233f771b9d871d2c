/** Answers to requests that the configuration does not allow, by what it lacks. */
export const REFUSALS = {
  noRoute: { status: 404, reason: 'no-route' },
  unknownKey: { status: 401, reason: 'unknown-key' },
} as const;
