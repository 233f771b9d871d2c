import { equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { toId, type HostId, type UpstreamId } from '../lib/ids.ts';
import { FakeCoreContext } from '../../test/support/FakeCoreContext.ts';
import type { GrantAskMessage } from './GrantMessage.ts';
import { DEFAULT_GRANT_OPTIONS } from './GrantOptions.ts';
import { GrantSteward } from './GrantSteward.ts';
import { SoleSteward } from './SoleSteward.ts';

const FIRST_HOST = toId<HostId>('entry-a2');
const SECOND_HOST = toId<HostId>('entry-a3');
const BEARABLE = 1;

function createAsk(askId: string): GrantAskMessage {
  return {
    kind: 'grantAsk', askId, upstreamId: toId<UpstreamId>('engine-1'), durationMs: 2000,
  };
}

function createSteward(): { readonly context: FakeCoreContext; readonly steward: GrantSteward } {
  const context = new FakeCoreContext();
  return { context, steward: new GrantSteward(context, new SoleSteward(context)) };
}

describe('GrantSteward', () => {
  it('answers a repeated ask with what is left of the same slot', () => {
    const { context, steward } = createSteward();
    const first = steward.handleAsk(FIRST_HOST, createAsk('ask-1'), BEARABLE);
    context.clock.advance(500);
    const repeated = steward.handleAsk(FIRST_HOST, createAsk('ask-1'), BEARABLE);
    equal(first.durationMs, 2000);
    const { driftFraction, marginMs } = DEFAULT_GRANT_OPTIONS;
    const freeAtMs = 2000 * (1 + driftFraction) + marginMs;
    const endsAtMs = 500 + repeated.durationMs * (1 + driftFraction);
    ok(repeated.durationMs > 0 && repeated.durationMs < 2000);
    ok(endsAtMs <= freeAtMs - marginMs, 'ends before the steward grants the slot again');
    equal(steward.countGrants(toId('engine-1')), 1);
  });

  it('gives the slot of an ask to no other host', () => {
    const { steward } = createSteward();
    steward.handleAsk(FIRST_HOST, createAsk('ask-1'), BEARABLE);
    equal(steward.handleAsk(SECOND_HOST, createAsk('ask-1'), BEARABLE).durationMs, 0);
    equal(steward.handleAsk(SECOND_HOST, createAsk('ask-2'), BEARABLE).durationMs, 0);
  });

  it('counts attempts that were sent before the start was noticed', () => {
    const { steward } = createSteward();
    equal(steward.handleAsk(FIRST_HOST, createAsk('ask-1'), BEARABLE, 1).durationMs, 0);
    equal(steward.handleAsk(FIRST_HOST, createAsk('ask-1'), BEARABLE, 0).durationMs, 2000);
  });
});
