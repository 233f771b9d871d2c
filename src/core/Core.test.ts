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
  it('passes each stage the output of the one before and answers with the last', () => {
    const rig = createRig();
    const requestId = rig.submit('read');
    rig.succeed(getLastSent(rig));
    rig.succeed(getLastSent(rig));
    const answer = assertExists(rig.getCompleted(requestId), 'completed');
    equal(answer.output, 'look(encode(input 1))');
    equal(answer.costMicros, 20);
    deepEqual(answer.stages.map(({ attemptCount }) => attemptCount), [1, 1]);
  });

  it('asks for the claim before anything is sent or billed', () => {
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
    it(`sends a non-repeatable stage ${sentCount - 1} times when it was ${failure}`, () => {
      const rig = createRig();
      const requestId = rig.submit('book', 'key-1');
      rig.succeed(getLastSent(rig));
      rig.fail(getLastSent(rig), failure);
      equal(rig.sent.length, sentCount);
      equal(rig.getRefusal(requestId)?.notRun ?? null, notRun);
      equal(rig.getRefusal(requestId)?.code ?? null, code);
    });
  });

  it('releases the claim and says "not run" when every upstream refused', () => {
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

  it('answers at the deadline at once, and records the outcome that comes later', () => {
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

  it('records the refusal as the outcome when the late end never comes', () => {
    const rig = createRig();
    rig.submit('book', 'key-1');
    rig.succeed(getLastSent(rig));
    rig.advance(1000);
    rig.fail(getLastSent(rig), ATTEMPT_FAILURE.timedOut);
    equal(rig.claims.outcomes.length, 0);
    rig.advance(10_000);
    deepEqual(rig.claims.outcomes.map(({ kind }) => kind), ['refused']);
  });

  it('books the cost of an attempt that ends after its request', () => {
    const rig = createRig();
    rig.submit('read');
    rig.advance(1000);
    rig.succeed(getLastSent(rig), 70);
    deepEqual(rig.costs.map(({ costMicros }) => costMicros), [70]);
  });

  it('counts an attempt that is reported twice once', () => {
    const rig = createRig();
    const requestId = rig.submit('read');
    const first = getLastSent(rig);
    rig.succeed(first);
    rig.succeed(first);
    rig.succeed(getLastSent(rig));
    equal(rig.getAnswers(requestId).length, 1);
    equal(rig.costs.length, 2);
  });

  it('streams each character of the last stage once, also across a retry', () => {
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

  it('keeps a request for a caller that comes back, and gives it up otherwise', () => {
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

  it('waits for a key that runs elsewhere and gives its answer', () => {
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

  it('says outcome unknown, never "not run", when the running one outlasts the deadline', () => {
    const rig = createRig();
    rig.claims.script = ({ requestId }) => ({
      kind: 'runningElsewhere', requestId, hostId: 'entry-b1' as never, incarnationId: 'x' as never,
    });
    const requestId = rig.submit('book', 'key-1');
    rig.advance(1000);
    equal(rig.getRefusal(requestId)?.code, 'outcome-unknown');
    equal(rig.getRefusal(requestId)?.notRun, false);
  });

  it('refuses new work a grace after its failure domain was drained, and ends what runs', () => {
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

  it('stops only when nothing runs any more', () => {
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

  it('refuses a request at once after the second upstream died of it', () => {
    const rig = createRig();
    const requestId = rig.submit('read');
    rig.fail(getLastSent(rig), ATTEMPT_FAILURE.crashed);
    rig.fail(getLastSent(rig), ATTEMPT_FAILURE.crashed);
    equal(rig.sent.length, 2);
    equal(rig.getRefusal(requestId)?.code, 'quarantined');
    ok((rig.getRefusal(requestId)?.retryAfterMs ?? 0) > 0);
  });

  it('runs a suspect alone and clears it when its upstream lives', () => {
    const rig = createRig();
    const suspect = rig.submit('read');
    const other = rig.submit('read');
    const [first, second] = rig.sent;
    rig.fail(assertExists(first, 'sent'), ATTEMPT_FAILURE.crashed);
    const isElsewhere = second?.upstreamId !== first?.upstreamId;
    if (isElsewhere) {
      equal(rig.sent.length, 2, 'the other upstream runs a request, so that the suspect waits');
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
