import type { LogLine } from './LogLine.ts';

/** What logs tell of one request. */
export interface LogExplanation {
  readonly requestId: string;
  /** How it ended; null when no line says so. */
  readonly outcome: string | null;
  /** What decided that, in a sentence. */
  readonly cause: string;
  /** The line that decided; null when there is none. */
  readonly decidingLine: LogLine | null;
  /** The lines about the request, and what changed around it, by time. */
  readonly lines: readonly LogLine[];
}

/** What is shown of the time before the first line and after the last one. */
const CONTEXT_MS = 1_000;

/** Changes of what hosts believe; shown when they fall into a request's time. */
export const CONTEXT_EVENTS: ReadonlySet<string> = new Set([
  'started', 'stopping', 'stopped', 'paused', 'storeLost', 'storeRegained', 'configurationInForce',
  'placerChosen', 'placerLost', 'stageCallEnded', 'upstreamLeaving', 'upstreamBackOff',
  'directorySourceChanged', 'directoryReaderLost', 'upstreamCrashed', 'upstreamLimit',
  'limitKeeperChosen',
]);

/** Outcomes of `relay` lines that end a request, and what each means. */
const CAUSES_BY_OUTCOME: Readonly<Record<string, string>> = {
  answered: 'It was answered.',
  timeout: 'Its time was up.',
  'caller-gone': 'The caller closed its connection.',
  'too-late': 'The placing host refused it, since its stages could not be done in time.',
  limited: 'All its upstreams name limits, and others had what they take in its time.',
  'no-engine': 'No engine with room was found in time.',
  unreachable: 'No host that places could be reached.',
  'engines-full': 'Engines refused it, or could not be reached, too often.',
  'upstreams-full': 'Upstreams refused it, or could not be reached, too often.',
  'no-upstream-open': 'All upstreams of its pool wanted no requests until after its time.',
  'engines-left': 'The engines that were chosen for it left before it was sent, too often.',
  'repeats-spent': 'It had not run, and the share of repeats was used up.',
  'engine-failed': 'The engine answered with a failure, which was passed on.',
  'engine-broke-off': 'The engine broke its answer off, and the request may not run again.',
  'upstream-failed': 'The upstream broke off or failed, and the request may not run again.',
  'placement-failed': 'A fault in the placement; see the error in the line.',
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

/** The line with the inputs of the decision, which may stand in another host's log. */
function findDecidingLine(lines: readonly LogLine[], end: LogLine): LogLine {
  if (end.event === 'refused') {
    return findLast(lines, ({ event }) => event === 'quarantine') ?? end;
  }
  switch (getOutcome(end)) {
    case 'too-late':
    case 'no-engine':
      return findLast(lines, ({ event }) => event === 'placementRefused') ?? end;
    case 'limited':
      return findLast(lines, (line) => line.event === 'placementRefused'
        || getOutcome(line) === 'leaveDecided') ?? end;
    case 'engine-broke-off':
      return findLast(lines, (line) => getOutcome(line) === 'brokenOff') ?? end;
    case 'upstream-failed':
      return findLast(lines, (line) => ['broken', 'failed'].includes(getOutcome(line))) ?? end;
    case 'no-upstream-open':
      return findLast(lines, (line) => getOutcome(line) === 'poolClosed') ?? end;
    case 'engines-left':
    case 'engines-full':
    case 'upstreams-full':
      return findLast(lines, (line) => (
        ['placedAgain', 'notRun', 'notSent'].includes(getOutcome(line)))) ?? end;
    default:
      return end;
  }
}

function describeTimeout(lines: readonly LogLine[]): string {
  const sent = findLast(lines, (line) => getOutcome(line) === 'sent');
  return sent === undefined
    ? 'Its time was up before an engine was chosen: see the calls of stages around it.'
    : `Its time was up while upstream ${String(sent.details.upstreamId)} worked on it.`;
}

function getCause(lines: readonly LogLine[], end: LogLine | undefined): string {
  if (end === undefined) {
    return lines.length === 0
      ? 'No line names it: look at more hosts, or at the caller.'
      : 'No line says how it ended: its host has ended, or its log is cut.';
  }
  if (end.event === 'refused' && end.details.reason === 'quarantined') {
    return 'Refused: upstreams have ended under requests like it, and none was answered since.';
  }
  if (end.event === 'refused') {
    return `Refused before any attempt: ${String(end.details.reason)}.`;
  }
  return getOutcome(end) === 'timeout'
    ? describeTimeout(lines)
    : CAUSES_BY_OUTCOME[getOutcome(end)] ?? getOutcome(end);
}

/**
 * Joins the lines of several hosts into the way of one request and names what decided it.
 *
 * @param requestId - the request
 * @param allLines - lines that name it, and lines of {@link CONTEXT_EVENTS}, in any order
 * @returns the way and the cause
 */
export function explainFromLogs(requestId: string, allLines: readonly LogLine[]): LogExplanation {
  const own = allLines.filter((line) => line.requestId === requestId)
    .sort((left, right) => left.atMs - right.atMs);
  const end = findLast(own, (line) => line.event === 'refused'
    || (line.event === 'relay' && CAUSES_BY_OUTCOME[getOutcome(line)] !== undefined));
  const fromMs = (own[0]?.atMs ?? Infinity) - CONTEXT_MS;
  const untilMs = (own.at(-1)?.atMs ?? -Infinity) + CONTEXT_MS;
  const context = allLines.filter((line) => line.requestId === null
    && CONTEXT_EVENTS.has(line.event) && line.atMs >= fromMs && line.atMs <= untilMs);
  const reason = typeof end?.details.reason === 'string' ? end.details.reason : null;
  return {
    requestId,
    outcome: end === undefined ? null : reason ?? getOutcome(end),
    cause: getCause(own, end),
    decidingLine: end === undefined ? null : findDecidingLine(own, end),
    lines: [...own, ...context].sort((left, right) => left.atMs - right.atMs),
  };
}
