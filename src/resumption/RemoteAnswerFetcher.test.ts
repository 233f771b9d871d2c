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

class Rig {
  readonly clock = new ManualClock();

  readonly taker = new FakeCoreContext('entry-a1', this.clock, 1);

  readonly asker = new FakeCoreContext('entry-b1', this.clock, 2);

  readonly request = { accountId: ACCOUNT_ID, streamedText: '', answer: null } as {
    accountId: AccountId; streamedText: string; answer: RequestAnswer | null;
  };

  readonly resumed: RequestId[] = [];

  memberState: 'alive' | 'dead' = 'alive';

  isCut = false;

  copies = 1;

  readonly emitted: CoreOutput[] = [];

  readonly #taking = this.#create(this.taker, true);

  readonly #asking = this.#create(this.asker, false);

  #create(context: FakeCoreContext, isTaker: boolean): RemoteAnswerFetcher {
    return new RemoteAnswerFetcher(context, {
      getMembers: () => [{
        ...this.taker.self, state: this.memberState, generation: 1, configurationVersion: 1,
      }],
      getRequest: (requestId) => (
        isTaker && requestId === REQUEST_ID ? this.request as unknown as RequestRecord : undefined
      ),
      recordResumed: (requestId) => this.resumed.push(requestId),
    });
  }

  query(requestId = REQUEST_ID, accountId = ACCOUNT_ID): void {
    this.#asking.query({ kind: 'answerQueried', requestId, accountId });
    this.deliver();
  }

  advance(durationMs: number): void {
    this.clock.advance(durationMs);
    this.#asking.tick();
    this.deliver();
  }

  deliver(): void {
    const asks = this.asker.takeOutputs();
    this.emitted.push(...asks.filter(({ kind }) => kind !== 'sendPeerMessage'));
    Array.from({ length: this.isCut ? 0 : this.copies }).forEach(() => asks.forEach((output) => {
      if (output.kind === 'sendPeerMessage') {
        this.#taking.handlePeerMessage(this.asker.self.hostId, output.message);
      }
    }));
    this.taker.takeOutputs().forEach((output) => {
      if (output.kind === 'sendPeerMessage') {
        this.#asking.handlePeerMessage(this.taker.self.hostId, output.message);
      }
    });
    this.emitted.push(...this.asker.takeOutputs());
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
    const rig = new Rig();
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
    const rig = new Rig();
    rig.isCut = true;
    rig.query();
    rig.isCut = false;
    rig.request.answer = ANSWER;
    rig.advance(100);
    deepEqual(rig.summary, ['completed']);
  });

  it('says outcome unknown, never "not run", when the host does not answer', () => {
    const rig = new Rig();
    rig.isCut = true;
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
      const rig = new Rig();
      rig.request.streamedText = 'secret';
      rig.query(requestId, accountId);
      deepEqual(rig.summary, ['request-unknown false']);
    });
  });

  it('answers at once when the host is dead', () => {
    const rig = new Rig();
    rig.memberState = 'dead';
    rig.query();
    equal(rig.summary[0], 'request-unknown false');
  });
});
