import { countRepeats } from './countRepeats.ts';
import { findConfigurationViolations } from './findConfigurationViolations.ts';
import { measureClosures } from './measureClosures.ts';
import { measureCrashes } from './measureCrashes.ts';
import { measureLimits } from './measureLimits.ts';
import type { RepeatBounds } from './RepeatBounds.ts';
import {
  REQUEST_KIND, type CallerRecord, type RunRecord, type SoakRecord,
} from './SoakRecord.ts';
import { SOAK_ACCOUNT } from './createSoakManifest.ts';

/** A promise that was not kept. */
export interface Violation {
  readonly promise: 'atMostOnce' | 'notRun' | 'wholeAnswer' | 'inOrder' | 'ended' | 'asked'
    | 'inputs' | 'account' | 'recovered' | 'repeats' | 'leaving' | 'backOff' | 'crashes'
    | 'limit' | 'configuration';
  readonly requestId: string;
  readonly detail: string;
}

/** Statuses that guarantee that a request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const STATUS_OK = 200;
/** Time after its deadline in which a request has to end. */
const END_ALLOWANCE_MS = 1_500;
/** Time after the last fault in which hosts may still be recovering. */
const RECOVERY_MS = 6_000;
/** Fraction of the later requests that has to be served. */
const MIN_RECOVERED_FRACTION = 0.95;

/**
 * Time after an upstream's leaving notice in which a host's callers may still reach it; the hosts'
 * settings contain the same value.
 */
export const DRAIN_MS = 2_400;
/** Requests that may arrive at an upstream in a back-off, after its first half second. */
const MAX_BACK_OFF_ARRIVALS = 2;

/** Arrivals of a crashing request that are allowed after hosts have to know it. */
const MAX_LATE_ARRIVALS = 3;

/** Number of events of a complete stream; they are numbered from 1. */
export const EVENT_COUNT = 12;

function findRunViolations(
  record: SoakRecord,
  runs: ReadonlyMap<string, RunRecord[]>,
): Violation[] {
  const callers = new Map(record.callers.map((caller) => [caller.requestId, caller]));
  return [...runs].flatMap(([requestId, own]): Violation[] => {
    const caller = callers.get(requestId);
    if (caller === undefined) {
      return own.slice(0, 1).map(({ upstreamId, call }) => (
        { promise: 'asked', requestId, detail: `ran at ${upstreamId}: ${call}` }));
    }
    const found = own.flatMap(({ inputFault, account }): Violation[] => [
      ...inputFault === null ? [] : [{ promise: 'inputs' as const, requestId, detail: inputFault }],
      ...account === SOAK_ACCOUNT ? [] : [{
        promise: 'account' as const, requestId, detail: `ran for account ${account ?? '(none)'}`,
      }],
    ]);
    if (caller.kind === REQUEST_KIND.once && own.length > 1) {
      found.push({ promise: 'atMostOnce', requestId, detail: `ran ${own.length} times` });
    }
    const { status } = caller;
    if (caller.kind === REQUEST_KIND.once && status !== null && NOT_RUN_STATUSES.has(status)) {
      found.push({ promise: 'notRun', requestId, detail: `ran, and was answered ${status}` });
    }
    return found;
  });
}

function findStreamViolation({ answerText, isComplete }: CallerRecord): string | null {
  const ids = [...answerText.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
  const isOrdered = ids.every((id, index) => id === index + 1);
  if (!isOrdered) {
    return `events ${ids.join(' ')}`;
  }
  return isComplete && ids.length !== EVENT_COUNT ? `looks whole after ${ids.length} events` : null;
}

function findAnswerViolations(caller: CallerRecord): Violation[] {
  const { requestId, kind } = caller;
  if (caller.status !== STATUS_OK) {
    return [];
  }
  if (!caller.isSigned) {
    return [{ promise: 'wholeAnswer', requestId, detail: 'a success without signature' }];
  }
  if (kind === REQUEST_KIND.stream) {
    const fault = findStreamViolation(caller);
    return fault === null ? [] : [{ promise: 'inOrder', requestId, detail: fault }];
  }
  return caller.isComplete && caller.answerText !== `answer to ${requestId}`
    ? [{ promise: 'wholeAnswer', requestId, detail: `got ${JSON.stringify(caller.answerText)}` }]
    : [];
}

function findEndViolations(record: SoakRecord, nowMs: number): Violation[] {
  return record.callers
    .filter(({ hostIndex, sentAtMs, deadlineMs }) => !record.hostSpans.some((span) => (
      span.hostIndex === hostIndex
      && span.fromMs <= sentAtMs + deadlineMs
      && span.untilMs >= sentAtMs)))
    .filter(({ endedAtMs, sentAtMs, deadlineMs }) => (
      (endedAtMs ?? nowMs) > sentAtMs + deadlineMs + END_ALLOWANCE_MS))
    .map(({ requestId, endedAtMs, sentAtMs }) => ({
      promise: 'ended',
      requestId,
      detail: endedAtMs === null ? 'no end' : `ended after ${Math.round(endedAtMs - sentAtMs)} ms`,
    }));
}

function findRecoveryViolations(
  { callers, crashes, faultsEndedAtMs }: SoakRecord,
): Violation[] {
  const crashing = new Set(crashes.map(({ requestId }) => (
    callers.find((caller) => caller.requestId === requestId)?.body)));
  const lastFaultMs = Math.max(faultsEndedAtMs, ...crashes.map(({ atMs }) => atMs));
  // A crashing request need not be served.
  const late = callers.filter(({ sentAtMs, body }) => (
    sentAtMs >= lastFaultMs + RECOVERY_MS && !crashing.has(body)));
  const served = late.filter(({ status, isComplete }) => status === STATUS_OK && isComplete);
  return late.length === 0 || served.length >= late.length * MIN_RECOVERED_FRACTION ? [] : [{
    promise: 'recovered', requestId: '', detail: `${served.length} of ${late.length} were served`,
  }];
}

function findRepeatViolations(
  { arrivals, callers }: SoakRecord,
  bounds: RepeatBounds,
): Violation[] {
  return countRepeats(arrivals, callers, bounds)
    .filter(({ worst }) => worst !== null && worst.repeatCount > worst.allowed)
    .map(({ service, worst }) => ({
      promise: 'repeats', requestId: '', detail: `${service}: ${JSON.stringify(worst)}`,
    }));
}

function findClosureViolations(record: SoakRecord): Violation[] {
  const { latestAfterLeaving, mostInBackOff } = measureClosures(record);
  const found: Violation[] = [];
  if (latestAfterLeaving !== null && latestAfterLeaving.value > DRAIN_MS) {
    found.push({
      promise: 'leaving', requestId: '', detail: JSON.stringify(latestAfterLeaving),
    });
  }
  if (mostInBackOff !== null && mostInBackOff.value > MAX_BACK_OFF_ARRIVALS) {
    found.push({ promise: 'backOff', requestId: '', detail: JSON.stringify(mostInBackOff) });
  }
  return found;
}

function findCrashViolations(record: SoakRecord): Violation[] {
  return measureCrashes(record)
    .filter(({ lateArrivals }) => lateArrivals.length > MAX_LATE_ARRIVALS)
    .map(({
      kind, body, sentCount, crashCount, lateArrivals,
    }) => ({
      promise: 'crashes',
      requestId: lateArrivals[0]?.requestId ?? '',
      detail: `${kind} "${body}": sent ${sentCount} times, ${crashCount} upstreams ended, `
        + `${lateArrivals.length} arrivals too late`,
    }));
}

function findLimitViolations(record: SoakRecord): Violation[] {
  return measureLimits(record)
    .filter(({ mostCount, allowedCount }) => mostCount > allowedCount)
    .map((report) => ({ promise: 'limit', requestId: '', detail: JSON.stringify(report) }));
}

/**
 * Checks the promises against what callers and upstreams observed.
 *
 * @param record - what they observed
 * @param nowMs - the time of the check
 * @param bounds - bounds on repeats
 * @returns the promises that were not kept
 */
export function findViolations(
  record: SoakRecord,
  nowMs: number,
  bounds: RepeatBounds,
): Violation[] {
  const runs = new Map<string, RunRecord[]>();
  const probeIds = new Set(record.probes.map(({ caller }) => caller.requestId));
  record.runs.filter(({ requestId }) => !probeIds.has(requestId)).forEach((run) => {
    runs.set(run.requestId, [...runs.get(run.requestId) ?? [], run]);
  });
  return [
    ...findRunViolations(record, runs),
    ...record.callers.flatMap(findAnswerViolations),
    ...findEndViolations(record, nowMs),
    ...findRecoveryViolations(record),
    ...findRepeatViolations(record, bounds),
    ...findClosureViolations(record),
    ...findCrashViolations(record),
    ...findLimitViolations(record),
    ...findConfigurationViolations(record)
      .map((violation) => ({ promise: 'configuration' as const, ...violation })),
  ];
}
