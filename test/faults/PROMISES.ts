import type { FaultTrace, SubmissionTrace } from './FaultTrace.ts';
import { MUTATION, type Mutation } from './MUTATION.ts';
import type { FaultStep } from './STEPS.ts';
import { COLD_CONCURRENCY, WARMUP_MS, getExpectedOutput } from './createFaultConfiguration.ts';

/** What must hold in every run. */
export interface FaultPromise {
  readonly name: string;
  /** The fault put into the system on purpose that must turn this check red. */
  readonly mutation: Mutation;
  /** Where the mutation shows. */
  readonly shownBy: { readonly fault: string; readonly step: FaultStep };
  /**
   * @param trace - what was seen
   * @returns what was broken; empty when it held
   */
  check(trace: FaultTrace): string[];
}

/** New work may still come this long after a drain was accepted. */
const DRAIN_LIMIT_MS = 3000;
/** An accepted configuration is in force everywhere within this time, faults being over. */
const IN_FORCE_LIMIT_MS = 6000;
/** A crash is noticed by a host without attempts there at the next load report at the latest. */
const COLD_NOTICE_MS = 250;
/** Every fault of the matrix is over by then, and the system has had time to recover. */
const RECOVERED_MS = 9000;

function wasLost(trace: FaultTrace, { incarnationId, atMs }: SubmissionTrace): boolean {
  const killedAtMs = trace.killed.get(incarnationId);
  return killedAtMs !== undefined && killedAtMs >= atMs;
}

function checkAnsweredOnce(trace: FaultTrace): string[] {
  return trace.submissions.flatMap((submission) => {
    const count = trace.answers
      .filter(({ requestId }) => requestId === submission.requestId).length;
    const isRight = count === 1 || (count === 0 && wasLost(trace, submission));
    return isRight ? [] : [`${submission.requestId} got ${count} answers`];
  });
}

function checkCold(trace: FaultTrace): string[] {
  return trace.arrivals
    .filter(({ uptimeMs }) => uptimeMs > COLD_NOTICE_MS && uptimeMs < WARMUP_MS)
    .filter(({ runningCount }) => runningCount > COLD_CONCURRENCY)
    .map(({ upstreamId, runningCount }) => `${upstreamId} was cold and ran ${runningCount}`);
}

function checkDrained(
  trace: FaultTrace,
  isConcerned: (arrival: FaultTrace['arrivals'][number]) => boolean,
  change: FaultTrace['accepted'][number]['change'],
): string[] {
  const accepted = trace.accepted.find((entry) => entry.change === change);
  return trace.arrivals
    .filter((arrival) => accepted !== undefined && isConcerned(arrival)
      && arrival.atMs > accepted.atMs + DRAIN_LIMIT_MS)
    .map(({ upstreamId, atMs }) => `${upstreamId} got work at ${atMs} ms`);
}

function checkWholeAnswer(trace: FaultTrace): string[] {
  return trace.answers.flatMap(({ requestId, answer }) => {
    const submission = trace.submissions.find((candidate) => candidate.requestId === requestId);
    if (answer.kind !== 'completed' || submission === undefined) {
      return [];
    }
    const expected = getExpectedOutput(submission.pipelineId, submission.input);
    const streamed = trace.chunks.filter((chunk) => chunk.requestId === requestId)
      .map(({ text }) => text).join('');
    const isRight = answer.output === expected && expected.startsWith(streamed);
    return isRight ? [] : [`${requestId} got '${answer.output}', streamed '${streamed}'`];
  });
}

function getConfirmations(trace: FaultTrace, key: string | null): FaultTrace['arrivals'] {
  return trace.arrivals.filter((arrival) => (
    key !== null && arrival.key === key && arrival.stageId === 'confirm'
  ));
}

function checkNotRun(trace: FaultTrace): string[] {
  return trace.answers.flatMap(({ requestId, answer, atMs }) => {
    const submission = trace.submissions.find((candidate) => candidate.requestId === requestId);
    if (answer.kind !== 'refused' || !answer.notRun || submission === undefined) {
      return [];
    }
    const ran = getConfirmations(trace, submission.key)
      .filter((arrival) => arrival.atMs <= atMs || arrival.requestId === requestId);
    return ran.length === 0 ? [] : [`${requestId} said not run (${answer.code}), key ran`];
  });
}

function checkAtMostOnce(trace: FaultTrace): string[] {
  const keys = new Set(trace.submissions.map(({ key }) => key));
  return [...keys].flatMap((key) => {
    const { length } = getConfirmations(trace, key);
    return length <= 1 ? [] : [`${key} ran ${length} times`];
  });
}

function checkStops(trace: FaultTrace): string[] {
  return trace.stops.filter(({ wasKilled }) => !wasKilled).flatMap((stop) => {
    const cutOff = trace.submissions
      .filter(({ incarnationId }) => incarnationId === stop.incarnationId)
      .filter(({ requestId }) => !trace.answers.some((answer) => answer.requestId === requestId));
    const ends = stop.stoppedAtMs === null ? [`${stop.incarnationId} never stopped`] : [];
    return [...ends, ...cutOff.map(({ requestId }) => `${requestId} was cut off by a stop`)];
  });
}

function checkConfiguration(trace: FaultTrace): string[] {
  const incarnations = [...new Set(trace.versions.map(({ incarnationId }) => incarnationId))];
  const highest = Math.max(0, ...trace.accepted.map(({ version }) => version));
  const acceptedAtMs = trace.accepted.find(({ version }) => version === highest)?.atMs ?? Infinity;
  const isDue = trace.endMs - acceptedAtMs >= IN_FORCE_LIMIT_MS;
  return incarnations.flatMap((incarnationId) => {
    const versions = trace.versions.filter((entry) => entry.incarnationId === incarnationId)
      .map(({ version }) => version);
    const hasReverted = versions.some((version, index) => version < (versions[index - 1] ?? 0));
    const hasEnded = trace.killed.has(incarnationId)
      || trace.stops.some((stop) => stop.incarnationId === incarnationId);
    const last = versions.at(-1) ?? 0;
    const isBehind = isDue && !hasEnded && last < highest;
    return [
      ...hasReverted ? [`${incarnationId} went back: ${versions.join(', ')}`] : [],
      ...isBehind ? [`${incarnationId} is at ${last}, not ${highest}`] : [],
    ];
  });
}

function checkBilled({ billedMicros, bookedMicros }: FaultTrace): string[] {
  return bookedMicros <= billedMicros
    ? [] : [`${bookedMicros} booked, ${billedMicros} billed by the upstreams`];
}

function checkServiceReturns(trace: FaultTrace): string[] {
  return trace.submissions
    .filter(({ atMs, input }) => atMs > RECOVERED_MS && !input.includes('poison'))
    .filter(({ requestId }) => !trace.answers.some((given) => (
      given.requestId === requestId && given.answer.kind === 'completed'
    )))
    .map(({ requestId }) => `${requestId} got no result long after the fault`);
}

/** The nine promises, in the order of the requirements, and two that the cells show as well. */
export const PROMISES: readonly FaultPromise[] = [
  {
    name: 'no result lost, doubled or crossed',
    mutation: MUTATION.answerTwice,
    shownBy: { fault: 'kill', step: 'run' },
    check: checkAnsweredOnce,
  },
  {
    name: 'cold upstreams get what they bear',
    mutation: MUTATION.ignoreCold,
    shownBy: { fault: 'cold in a traffic burst', step: 'run' },
    check: checkCold,
  },
  {
    name: 'a drained domain gets no new work',
    mutation: MUTATION.ignoreDomainDrain,
    shownBy: { fault: 'traffic burst', step: 'restart' },
    check: (trace) => (
      checkDrained(trace, ({ failureDomainId }) => failureDomainId === 'domain-c', 'drainDomain')
    ),
  },
  {
    name: 'the whole answer to the own request',
    mutation: MUTATION.cutAnswer,
    shownBy: { fault: 'kill', step: 'run' },
    check: checkWholeAnswer,
  },
  {
    name: 'not run is true',
    mutation: MUTATION.claimNotRun,
    shownBy: { fault: 'upstream answer lost after its effect', step: 'dispatch' },
    check: checkNotRun,
  },
  {
    name: 'at most once',
    mutation: MUTATION.dispatchBeforeClaim,
    shownBy: { fault: 'kill', step: 'run' },
    check: checkAtMostOnce,
  },
  {
    name: 'a leaving upstream gets no new work',
    mutation: MUTATION.ignoreUpstreamDrain,
    shownBy: { fault: 'cold without warning', step: 'restart' },
    check: (trace) => (
      checkDrained(trace, ({ upstreamId }) => upstreamId === 'ledger-b', 'drainUpstream')
    ),
  },
  {
    name: 'planned stops cut off nothing',
    mutation: MUTATION.stopAtOnce,
    shownBy: { fault: 'slow upstreams', step: 'handOver' },
    check: checkStops,
  },
  {
    name: 'accepted configuration in force, never back',
    mutation: MUTATION.revert,
    shownBy: { fault: 'operators racing', step: 'configure' },
    check: checkConfiguration,
  },
  {
    name: 'no attempt booked twice',
    mutation: MUTATION.bookTwice,
    shownBy: { fault: 'repeated messages and answers', step: 'bill' },
    check: checkBilled,
  },
  {
    name: 'service returns after the fault',
    mutation: MUTATION.forgetUpstreams,
    shownBy: { fault: 'kill', step: 'run' },
    check: checkServiceReturns,
  },
];
