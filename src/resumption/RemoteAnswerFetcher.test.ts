import { deepEqual, equal } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { FakeCoreContext } from '../../test/support/FakeCoreContext.ts';
import type { RequestAnswer } from '../answers/RequestAnswer.ts';
import type { CoreOutput } from '../core/CoreOutput.ts';
import type { RequestRecord } from '../core/tables/RequestRecord.ts';
import { toId, type AccountId, type RequestId } from '../lib/ids.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { createRequestId } from './createRequestId.ts';
import { RemoteAnswerFetcher } from './RemoteAnswerFetcher.ts';

const REQUEST_ID = createRequestId('entry-a1', '1');
const ACCOUNT_ID = toId<AccountId>('account-1');
const ANSWER: RequestAnswer = {
  kind: 'completed', output: 'abcd', digest: 'd', costMicros: 1, stages: [],
};

class TestBed {
  readonly clock = new ManualClock();

  readonly ownerContext = new FakeCoreContext('entry-a1', this.clock, 1);

  readonly requesterContext = new FakeCoreContext('entry-b1', this.clock, 2);

  readonly request = { accountId: ACCOUNT_ID, streamedText: '', answer: null } as {
    accountId: AccountId; streamedText: string; answer: RequestAnswer | null;
  };

  readonly resumed: RequestId[] = [];

  memberState: 'alive' | 'dead' = 'alive';

  isPartitioned = false;

  copies = 1;

  readonly emitted: CoreOutput[] = [];

  readonly #owner = this.#create(this.ownerContext, true);

  readonly #requester = this.#create(this.requesterContext, false);

  #create(context: FakeCoreContext, isTaker: boolean): RemoteAnswerFetcher {
    return new RemoteAnswerFetcher(context, {
      getMembers: () => [{
        ...this.ownerContext.self, state: this.memberState, generation: 1, configurationVersion: 1,
      }],
      getRequest: (requestId) => (
        isTaker && requestId === REQUEST_ID ? this.request as unknown as RequestRecord : undefined
      ),
      recordResumed: (requestId) => this.resumed.push(requestId),
    });
  }

  query(requestId = REQUEST_ID, accountId = ACCOUNT_ID): void {
    this.#requester.query({ kind: 'answerQueried', requestId, accountId });
    this.deliver();
  }

  advance(durationMs: number): void {
    this.clock.advance(durationMs);
    this.#requester.tick();
    this.deliver();
  }

  deliver(): void {
    const asks = this.requesterContext.takeOutputs();
    this.emitted.push(...asks.filter(({ kind }) => kind !== 'sendPeerMessage'));
    Array.from({ length: this.isPartitioned ? 0 : this.copies }).forEach(() => asks.forEach((output) => {
      if (output.kind === 'sendPeerMessage') {
        this.#owner.handlePeerMessage(this.requesterContext.self.hostId, output.message);
      }
    }));
    this.ownerContext.takeOutputs().forEach((output) => {
      if (output.kind === 'sendPeerMessage') {
        this.#requester.handlePeerMessage(this.ownerContext.self.hostId, output.message);
      }
    });
    this.emitted.push(...this.requesterContext.takeOutputs());
  }

  get summary(): string[] {
    return this.emitted.map((output) => {
      if (output.kind === 'answerChunk') {
        return `${output.offset}:${output.text}`;
      }
      const answer = output.kind === 'answerRequest' ? output.answer : null;
      return answer?.kind === 'refused' ? `${answer.code} ${answer.notRun}` : `${answer?.kind}`;
    });
  }
}

describe('RemoteAnswers', () => {
  it('passes on each character once and the final answer, also when messages are doubled', () => {
    const rig = new TestBed();
    rig.copies = 2;
    rig.request.streamedText = 'ab';
    rig.query();
    rig.request.streamedText = 'abc';
    rig.advance(100);
    rig.request.answer = ANSWER;
    rig.advance(100);
    deepEqual(rig.summary, ['0:ab', '2:c', 'completed']);
    deepEqual(rig.resumed.slice(0, 1), [REQUEST_ID]);
  });

  it('goes on after lost messages', () => {
    const rig = new TestBed();
    rig.isPartitioned = true;
    rig.query();
    rig.isPartitioned = false;
    rig.request.answer = ANSWER;
    rig.advance(100);
    deepEqual(rig.summary, ['completed']);
  });

  it('says outcome unknown, never "not run", when the host does not answer', () => {
    const rig = new TestBed();
    rig.isPartitioned = true;
    rig.query();
    rig.advance(1000);
    deepEqual(rig.summary, ['outcome-unknown false']);
  });

  const unknown = [
    { name: 'another account', requestId: REQUEST_ID, accountId: toId<AccountId>('account-2') },
    { name: 'a forgotten request', requestId: createRequestId('entry-a1', '2') },
    { name: 'a host that never was', requestId: createRequestId('entry-x', '1') },
  ];
  unknown.forEach(({ name, requestId, accountId }) => {
    it(`knows nothing for ${name}`, () => {
      const rig = new TestBed();
      rig.request.streamedText = 'secret';
      rig.query(requestId, accountId);
      deepEqual(rig.summary, ['request-unknown false']);
    });
  });

  it('answers at once when the host is dead', () => {
    const rig = new TestBed();
    rig.memberState = 'dead';
    rig.query();
    equal(rig.summary[0], 'request-unknown false');
  });
});
