import type { LogLine } from './LogLine.ts';

/** Explanation of one request's outcome from the logs of several hosts. */
export interface LogExplanation {
  readonly requestId: string;
  /** Outcome or refusal reason of the request; null when no line records one. */
  readonly outcome: string | null;
  /** Cause of the outcome, as a sentence. */
  readonly cause: string;
  /** The line with the decision that caused the outcome; null when there is none. */
  readonly decidingLine: LogLine | null;
  /** The lines of the request and of events near it, by time. */
  readonly lines: readonly LogLine[];
}

/** Time before the first and after the last line from which events are included. */
const CONTEXT_MS = 1_000;

/** Events that change a host's state; included when they occur near the request. */
export const CONTEXT_EVENTS: ReadonlySet<string> = new Set([
  'started', 'stopping', 'stopped', 'paused', 'storeLost', 'storeRegained', 'storeEraChanged',
  'configurationInForce', 'placementCoordinatorChosen', 'placementCoordinatorLost',
  'stageCallEnded', 'upstreamLeaving', 'upstreamBackOff', 'directorySourceChanged',
  'directoryReaderLost', 'poolVersionRecorded', 'upstreamsLost', 'upstreamsRegained',
  'upstreamCrashed', 'scarcityBegan', 'scarcityEnded', 'upstreamLimit', 'limitCoordinatorChosen',
]);

/** Cause by the outcome of the `relay` line that ends a request. */
const CAUSES_BY_OUTCOME: Readonly<Record<string, string>> = {
  answered: 'It was answered.',
  timeout: 'Its deadline passed.',
  'caller-gone': 'The caller closed its connection.',
  'too-late': 'The placement coordinator refused it: its stages could not end in time.',
  'over-share': 'Its pool could not serve all requests in time, and its client account had taken '
    + 'more than its share; see the shares in the line.',
  limited: 'All its upstreams advertise limits; other requests got the permits until its deadline.',
  'no-engine': 'No engine with free capacity was found in time.',
  unreachable: 'No placement coordinator could be reached.',
  'engines-full': 'Engines refused it or could not be reached too many times.',
  'upstreams-full': 'Upstreams refused it or could not be reached too many times.',
  'no-upstream-open': 'All upstreams of its pool asked for a back-off beyond its deadline.',
  'engines-left': 'The engines chosen for it left before it was sent, too many times.',
  'retries-exhausted': 'It had not run, and the retry budget was exhausted.',
  'engine-failed': 'The engine answered with a failure, which was relayed to the caller.',
  'engine-broke-off': 'The engine broke off its answer, and the request must not run again.',
  'upstream-failed': 'The upstream broke off or failed, and the request must not run again.',
  'version-unknown': 'It resumes a stream, and no host knows the software version that began it.',
  'version-gone': 'No engine has the software version that began its stream.',
  'versions-not-recorded': 'The store had no record of the software versions of its pool.',
  'no-upstream-reachable': 'This host reached no upstream, and no other host took the request.',
  'peer-failed': 'This host reached no upstream; the host that took the request broke off.',
  leaving: 'The host stopped before it could be answered.',
  'placement-failed': 'The placement failed; see the error in the line.',
};

function getOutcome(line: LogLine): string {
  return typeof line.details.outcome === 'string' ? line.details.outcome : '';
}

function findLast(
  lines: readonly LogLine[],
  isWanted: (line: LogLine) => boolean,
): LogLine | undefined {
  return [...lines].reverse().find(isWanted);
}

/** Finds the line with the inputs of the decision, which may be in another host's log. */
function findDecidingLine(lines: readonly LogLine[], endLine: LogLine): LogLine {
  if (endLine.event === 'refused') {
    return findLast(lines, ({ event }) => event === 'quarantine') ?? endLine;
  }
  switch (getOutcome(endLine)) {
    case 'too-late':
    case 'over-share':
    case 'no-engine':
      return findLast(lines, ({ event }) => event === 'placementRefused') ?? endLine;
    case 'limited':
      return findLast(lines, (line) => line.event === 'placementRefused'
        || getOutcome(line) === 'permitDecided') ?? endLine;
    case 'engine-broke-off':
      return findLast(lines, (line) => getOutcome(line) === 'brokenOff') ?? endLine;
    case 'upstream-failed':
      return findLast(lines, (line) => ['broken', 'failed'].includes(getOutcome(line))) ?? endLine;
    case 'no-upstream-open':
      return findLast(lines, (line) => getOutcome(line) === 'poolClosed') ?? endLine;
    case 'version-unknown':
    case 'version-gone':
      return findLast(lines, (line) => getOutcome(line) === 'versionFound') ?? endLine;
    case 'engines-left':
    case 'engines-full':
    case 'upstreams-full':
      return findLast(lines, (line) => (
        ['placedAgain', 'notRun', 'notSent'].includes(getOutcome(line)))) ?? endLine;
    default:
      return endLine;
  }
}

function describeTimeout(lines: readonly LogLine[]): string {
  const sent = findLast(lines, (line) => getOutcome(line) === 'sent');
  return sent === undefined
    ? 'Its deadline passed before an engine was chosen; see the stage calls near it.'
    : `Its deadline passed while upstream ${String(sent.details.upstreamId)} ran it.`;
}

function getCause(lines: readonly LogLine[], endLine: LogLine | undefined): string {
  if (endLine === undefined) {
    return lines.length === 0
      ? 'No log line names it; read the logs of more hosts, or of the caller.'
      : 'No log line records its outcome: its host has stopped, or its log is truncated.';
  }
  if (endLine.event === 'refused' && endLine.details.reason === 'quarantined') {
    return 'Refused: upstreams have crashed on requests like it, and none was answered since.';
  }
  if (endLine.event === 'refused') {
    return `Refused before any attempt: ${String(endLine.details.reason)}.`;
  }
  return getOutcome(endLine) === 'timeout'
    ? describeTimeout(lines)
    : CAUSES_BY_OUTCOME[getOutcome(endLine)] ?? getOutcome(endLine);
}

/**
 * Explains the outcome of one request from the log lines of several hosts.
 *
 * @param requestId - id of the request
 * @param allLines - lines that name it, and lines of {@link CONTEXT_EVENTS}, in any order
 * @returns the lines of the request and the cause of its outcome
 */
export function explainFromLogs(requestId: string, allLines: readonly LogLine[]): LogExplanation {
  const ownLines = allLines.filter((line) => line.requestId === requestId)
    .sort((left, right) => left.atMs - right.atMs);
  const endLine = findLast(ownLines, (line) => line.event === 'refused'
    || (line.event === 'relay' && CAUSES_BY_OUTCOME[getOutcome(line)] !== undefined));
  const fromMs = (ownLines[0]?.atMs ?? Infinity) - CONTEXT_MS;
  const untilMs = (ownLines.at(-1)?.atMs ?? -Infinity) + CONTEXT_MS;
  const context = allLines.filter((line) => line.requestId === null
    && CONTEXT_EVENTS.has(line.event) && line.atMs >= fromMs && line.atMs <= untilMs);
  const reason = typeof endLine?.details.reason === 'string' ? endLine.details.reason : null;
  return {
    requestId,
    outcome: endLine === undefined ? null : reason ?? getOutcome(endLine),
    cause: getCause(ownLines, endLine),
    decidingLine: endLine === undefined ? null : findDecidingLine(ownLines, endLine),
    lines: [...ownLines, ...context].sort((left, right) => left.atMs - right.atMs),
  };
}
