import type { SoakFault } from './SoakFault.ts';
import type { SoakProfile } from './SOAK_PROFILE.ts';

/** All kinds of faults that do not need a profile of their own. */
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
/** Faults that cause retries, and faults that make hosts lose their record of retries. */
const REPEAT_FAULTS: readonly SoakFault[] = [
  { kind: 'pool', how: 'refuse' },
  { kind: 'pool', how: 'fail' },
  { kind: 'pool', how: 'break' },
  { kind: 'pool', how: 'hang' },
  { kind: 'pool', how: 'hold' },
  { kind: 'upstream', how: 'hold' },
  { kind: 'upstream', how: 'crash' },
  { kind: 'connection', how: 'reset', target: 'upstream' },
  { kind: 'allHosts', how: 'terminate' },
  { kind: 'allHosts', how: 'kill' },
  { kind: 'host', how: 'kill' },
  { kind: 'host', how: 'pause' },
  { kind: 'store', how: 'down' },
  { kind: 'store', how: 'slow' },
  { kind: 'connection', how: 'silent', target: 'store' },
];

/** Upstreams that leave or ask for a back-off, and faults that make hosts forget the notice. */
const CLOSURE_FAULTS: readonly SoakFault[] = [
  { kind: 'upstream', how: 'leave' },
  { kind: 'upstream', how: 'leave' },
  { kind: 'upstream', how: 'backOff' },
  { kind: 'upstream', how: 'backOff' },
  { kind: 'pool', how: 'backOff' },
  { kind: 'upstream', how: 'crash' },
  { kind: 'upstream', how: 'drain' },
  { kind: 'pool', how: 'hang' },
  { kind: 'connection', how: 'reset', target: 'upstream' },
  { kind: 'connection', how: 'silent', target: 'store' },
  { kind: 'store', how: 'down' },
  { kind: 'store', how: 'forget' },
  { kind: 'host', how: 'kill' },
  { kind: 'manifest' },
];

/** Upstreams that advertise changing limits, and faults that make hosts forget them. */
const LIMIT_FAULTS: readonly SoakFault[] = [
  { kind: 'limit', scope: 'upstream', requestsPerSecond: 0 },
  { kind: 'limit', scope: 'upstream', requestsPerSecond: 0.5 },
  { kind: 'limit', scope: 'upstream', requestsPerSecond: 1 },
  { kind: 'limit', scope: 'upstream', requestsPerSecond: 1 },
  { kind: 'limit', scope: 'upstream', requestsPerSecond: 3.7 },
  { kind: 'limit', scope: 'pool', requestsPerSecond: 1 },
  { kind: 'limit', scope: 'pool', requestsPerSecond: 4 },
  { kind: 'limit', scope: 'pool', requestsPerSecond: 500 },
  { kind: 'limit', scope: 'oneOfEachPool', requestsPerSecond: 2 },
  { kind: 'upstream', how: 'crash' },
  { kind: 'upstream', how: 'backOff' },
  { kind: 'host', how: 'terminate' },
  { kind: 'host', how: 'kill' },
  { kind: 'host', how: 'pause' },
  { kind: 'connection', how: 'reset', target: 'upstream' },
  { kind: 'connection', how: 'silent', target: 'store' },
  { kind: 'store', how: 'down' },
  { kind: 'manifest' },
];

/** A store that comes back from older copies, and changes that the copies lack. */
const COPY_FAULTS: readonly SoakFault[] = [
  { kind: 'storeCopy' },
  { kind: 'storeCopy' },
  { kind: 'storeCopy' },
  { kind: 'store', how: 'answersLost' },
  { kind: 'store', how: 'forget' },
  { kind: 'upstream', how: 'crash' },
  { kind: 'upstream', how: 'crash' },
  { kind: 'upstream', how: 'drain' },
  { kind: 'upstream', how: 'leave' },
  { kind: 'allHosts', how: 'terminate' },
  { kind: 'allHosts', how: 'kill' },
  { kind: 'host', how: 'terminate' },
  { kind: 'host', how: 'kill' },
  { kind: 'host', how: 'pause' },
  { kind: 'connection', how: 'silent', target: 'store' },
  { kind: 'connection', how: 'reset', target: 'upstream' },
  { kind: 'manifest' },
  { kind: 'manifest' },
];

/** Whatever ends answers early; upstreams mark no ends meanwhile. */
const ENDING_FAULTS: readonly SoakFault[] = [
  { kind: 'connection', how: 'resetAnswers', target: 'upstream' },
  { kind: 'connection', how: 'resetAnswers', target: 'upstream' },
  { kind: 'connection', how: 'resetAnswers', target: 'upstream' },
  { kind: 'connection', how: 'reset', target: 'upstream' },
  { kind: 'connection', how: 'silent', target: 'store' },
  { kind: 'upstream', how: 'restart' },
  { kind: 'upstream', how: 'restart' },
  { kind: 'upstream', how: 'restart' },
  { kind: 'upstream', how: 'crash' },
  { kind: 'upstream', how: 'drain' },
  { kind: 'host', how: 'kill' },
  { kind: 'host', how: 'kill' },
  { kind: 'host', how: 'terminate' },
  { kind: 'host', how: 'pause' },
  { kind: 'allHosts', how: 'kill' },
];

/** Hosts that lose paths or stand still, while the configuration changes. */
const CONFIGURATION_FAULTS: readonly SoakFault[] = [
  { kind: 'strandedHost' },
  { kind: 'strandedHost' },
  { kind: 'strandedHost' },
  { kind: 'storePath', how: 'silent' },
  { kind: 'storePath', how: 'cutAnswers' },
  { kind: 'storePath', how: 'cutAnswers' },
  { kind: 'manifest' },
  { kind: 'manifest' },
  { kind: 'manifest' },
  { kind: 'host', how: 'pause' },
  { kind: 'host', how: 'kill' },
  { kind: 'upstream', how: 'drain' },
];

/** The faults of each profile. */
export const PROFILE_FAULTS: Readonly<Record<SoakProfile, readonly SoakFault[]>> = {
  all: FAULTS,
  repeats: REPEAT_FAULTS,
  closures: CLOSURE_FAULTS,
  limits: LIMIT_FAULTS,
  copies: COPY_FAULTS,
  endings: ENDING_FAULTS,
  configurations: CONFIGURATION_FAULTS,
};
