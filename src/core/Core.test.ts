import { deepEqual, equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { CoreRig } from '../../test/support/CoreRig.ts';
import { createTestConfiguration } from '../../test/support/createTestConfiguration.ts';
import { assertExists } from '../lib/assertExists.ts';
import { ATTEMPT_FAILURE } from '../upstreams/AttemptFailure.ts';
import type { SendAttemptOutput } from './CoreOutput.ts';

function createRig(): CoreRig {
  return new CoreRig(createTestConfiguration());
}

function getLastSent(rig: CoreRig): SendAttemptOutput {
  return assertExists(rig.sent.at(-1), 'an attempt was sent');
}

describe('Core', () => {
  it('passes the output of each stage to the next and answers with the output of the last', () => {
    const rig = createRig();
    const requestId = rig.submit('read');
    rig.succeed(getLastSent(rig));
    rig.succeed(getLastSent(rig));
    const answer = assertExists(rig.getCompleted(requestId), 'completed');
    equal(answer.output, 'look(encode(input 1))');
    equal(answer.costMicros, 20);
    deepEqual(answer.stages.map(({ attemptCount }) => attemptCount), [1, 1]);
  });

  it('requests the claim before any attempt is sent', () => {
    const rig = createRig();
    rig.claims.script = () => null;
    rig.submit('book', 'key-1');
    equal(rig.claims.requested.length, 1);
    equal(rig.sent.length, 0);
  });

  it('retries a repeatable stage at another upstream', () => {
    const rig = createRig();
    rig.submit('read');
    const first = getLastSent(rig);
    rig.fail(first, ATTEMPT_FAILURE.crashed);
    equal(rig.sent.length, 2);
    ok(getLastSent(rig).upstreamId !== first.upstreamId);
  });

  const notRepeated = [
    {
      failure: ATTEMPT_FAILURE.crashed, sentCount: 2, notRun: false, code: 'outcome-unknown',
    },
    {
      failure: ATTEMPT_FAILURE.errored, sentCount: 2, notRun: false, code: 'upstream-failed',
    },
    {
      failure: ATTEMPT_FAILURE.truncated, sentCount: 2, notRun: false, code: 'outcome-unknown',
    },
    {
      failure: ATTEMPT_FAILURE.timedOut, sentCount: 2, notRun: false, code: 'outcome-unknown',
    },
    {
      failure: ATTEMPT_FAILURE.unreachable, sentCount: 3, notRun: null, code: null,
    },
    {
      failure: ATTEMPT_FAILURE.refused, sentCount: 3, notRun: null, code: null,
    },
  ];
  notRepeated.forEach(({
    failure, sentCount, notRun, code,
  }) => {
    it(`sends a non-repeatable stage ${sentCount - 1} times after the failure ${failure}`, () => {
      const rig = createRig();
      const requestId = rig.submit('book', 'key-1');
      rig.succeed(getLastSent(rig));
      rig.fail(getLastSent(rig), failure);
      equal(rig.sent.length, sentCount);
      equal(rig.getRefusal(requestId)?.notRun ?? null, notRun);
      equal(rig.getRefusal(requestId)?.code ?? null, code);
    });
  });

  it('releases the claim and answers "not run" when every upstream refused the stage', () => {
    const rig = createRig();
    const requestId = rig.submit('book', 'key-1');
    rig.succeed(getLastSent(rig));
    while (rig.getRefusal(requestId) === undefined) {
      rig.fail(getLastSent(rig), ATTEMPT_FAILURE.refused);
    }
    equal(rig.getRefusal(requestId)?.notRun, true);
    deepEqual(rig.claims.released, [requestId]);
    equal(rig.claims.outcomes.length, 0);
  });

  it('answers at the deadline and records the outcome when the attempt ends later', () => {
    const rig = createRig();
    const requestId = rig.submit('book', 'key-1');
    rig.succeed(getLastSent(rig));
    rig.advance(1000);
    equal(rig.getRefusal(requestId)?.code, 'deadline-exceeded');
    equal(rig.getRefusal(requestId)?.notRun, false);
    equal(rig.claims.outcomes.length, 0);
    rig.succeed(getLastSent(rig));
    deepEqual(rig.claims.outcomes.map(({ kind }) => kind), ['completed']);
    equal(rig.getAnswers(requestId).length, 1);
  });

  it('records the refusal as the outcome when the end of the attempt is never reported', () => {
    const rig = createRig();
    rig.submit('book', 'key-1');
    rig.succeed(getLastSent(rig));
    rig.advance(1000);
    rig.fail(getLastSent(rig), ATTEMPT_FAILURE.timedOut);
    equal(rig.claims.outcomes.length, 0);
    rig.advance(10_000);
    deepEqual(rig.claims.outcomes.map(({ kind }) => kind), ['refused']);
  });

  it('records the cost of an attempt that ends after its request', () => {
    const rig = createRig();
    rig.submit('read');
    rig.advance(1000);
    rig.succeed(getLastSent(rig), 70);
    deepEqual(rig.costs.map(({ costMicros }) => costMicros), [70]);
  });

  it('ignores the second report of the same attempt', () => {
    const rig = createRig();
    const requestId = rig.submit('read');
    const first = getLastSent(rig);
    rig.succeed(first);
    rig.succeed(first);
    rig.succeed(getLastSent(rig));
    equal(rig.getAnswers(requestId).length, 1);
    equal(rig.costs.length, 2);
  });

  it('streams each character of the last stage once across a retry', () => {
    const rig = createRig();
    rig.submit('read');
    rig.succeed(getLastSent(rig));
    const chunk = (offset: number, text: string): void => {
      const { attemptId } = getLastSent(rig);
      rig.step({
        kind: 'attemptChunk', attemptId, upstreamIncarnation: 'i', offset, text,
      });
    };
    chunk(0, 'ab');
    chunk(0, 'ab');
    rig.fail(getLastSent(rig), ATTEMPT_FAILURE.crashed);
    chunk(0, 'abc');
    chunk(5, 'late');
    const texts = rig.outputs.flatMap((output) => (
      output.kind === 'answerChunk' ? [output.text] : []
    ));
    deepEqual(texts, ['ab', 'c']);
  });

  it('does not answer a resumed request before its deadline', () => {
    const rig = createRig();
    const kept = rig.submit('read');
    const left = rig.submit('read');
    rig.step({ kind: 'requestAbandoned', requestId: kept });
    rig.step({ kind: 'requestAbandoned', requestId: left });
    rig.step({ kind: 'requestResumed', requestId: kept });
    rig.core.getNextWakeMs();
    rig.advance(999);
    equal(rig.getAnswers(kept).length, 0);
  });

  it('waits for a key that is running at another host and answers with its result', () => {
    const rig = createRig();
    rig.claims.script = ({ requestId }) => ({
      kind: 'runningElsewhere', requestId, hostId: 'entry-b1' as never, incarnationId: 'x' as never,
    });
    const requestId = rig.submit('book', 'key-1');
    const answer = {
      kind: 'completed', output: 'done', digest: '', costMicros: 1, stages: [],
    } as const;
    rig.claims.script = (request) => ({
      kind: 'completedBefore', requestId: request.requestId, answer,
    });
    rig.advance(200);
    deepEqual(rig.getAnswers(requestId), [answer]);
    equal(rig.sent.length, 0);
  });

  it('answers "outcome unknown", never "not run", when the key still runs at the deadline', () => {
    const rig = createRig();
    rig.claims.script = ({ requestId }) => ({
      kind: 'runningElsewhere', requestId, hostId: 'entry-b1' as never, incarnationId: 'x' as never,
    });
    const requestId = rig.submit('book', 'key-1');
    rig.advance(1000);
    equal(rig.getRefusal(requestId)?.code, 'outcome-unknown');
    equal(rig.getRefusal(requestId)?.notRun, false);
  });

  it('finishes running requests after a drain and refuses new ones after the grace period', () => {
    const rig = createRig();
    const running = rig.submit('read');
    const configuration = createTestConfiguration();
    rig.core.setConfiguration({
      ...configuration, version: 2, drains: [{ kind: 'failureDomain', id: 'domain-a' }],
    });
    equal(rig.core.isReady(), false);
    rig.advance(800);
    rig.succeed(getLastSent(rig));
    rig.succeed(getLastSent(rig));
    equal(rig.getAnswers(running)[0]?.kind, 'completed');
    rig.advance(2000);
    const late = rig.submit('read');
    equal(rig.getRefusal(late)?.code, 'not-ready');
    equal(rig.getRefusal(late)?.notRun, true);
  });

  it('stops only after the running requests have ended', () => {
    const rig = createRig();
    rig.submit('read');
    rig.step({ kind: 'stopRequested' });
    const stoppedAt = (): boolean => rig.outputs.some(({ kind }) => kind === 'stopped');
    rig.advance(900);
    rig.succeed(getLastSent(rig));
    rig.succeed(getLastSent(rig));
    equal(stoppedAt(), false);
    rig.advance(2000);
    equal(stoppedAt(), true);
  });

  it('refuses a request at once after it crashed a second upstream', () => {
    const rig = createRig();
    const requestId = rig.submit('read');
    rig.fail(getLastSent(rig), ATTEMPT_FAILURE.crashed);
    rig.fail(getLastSent(rig), ATTEMPT_FAILURE.crashed);
    equal(rig.sent.length, 2);
    equal(rig.getRefusal(requestId)?.code, 'quarantined');
    ok((rig.getRefusal(requestId)?.retryAfterMs ?? 0) > 0);
  });

  it('completes both a suspect request and another one when its second upstream survives', () => {
    const rig = createRig();
    const suspect = rig.submit('read');
    const other = rig.submit('read');
    const [first, second] = rig.sent;
    rig.fail(assertExists(first, 'sent'), ATTEMPT_FAILURE.crashed);
    const isElsewhere = second?.upstreamId !== first?.upstreamId;
    if (isElsewhere) {
      equal(rig.sent.length, 2, 'the suspect request waits while the other upstream is busy');
    }
    rig.succeed(assertExists(second, 'sent'));
    rig.sent.slice(2).filter(({ requestId }) => requestId === suspect)
      .forEach((attempt) => rig.succeed(attempt));
    rig.sent.slice(2).forEach((attempt) => rig.succeed(attempt));
    rig.sent.slice(2).forEach((attempt) => rig.succeed(attempt));
    deepEqual([suspect, other].map((id) => rig.getAnswers(id)[0]?.kind), [
      'completed', 'completed',
    ]);
  });
});
