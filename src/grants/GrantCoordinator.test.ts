import { equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { toId, type HostId, type UpstreamId } from '../lib/ids.ts';
import { FakeCoreContext } from '../../test/support/FakeCoreContext.ts';
import type { GrantAskMessage } from './GrantMessage.ts';
import { DEFAULT_GRANT_OPTIONS } from './GrantOptions.ts';
import { GrantCoordinator } from './GrantCoordinator.ts';
import { SingleHostDirectory } from './SingleHostDirectory.ts';

const FIRST_HOST = toId<HostId>('entry-a2');
const SECOND_HOST = toId<HostId>('entry-a3');
const COLD_LIMIT = 1;

function createRequest(askId: string): GrantAskMessage {
  return {
    kind: 'grantAsk', askId, upstreamId: toId<UpstreamId>('engine-1'), durationMs: 2000,
  };
}

function createCoordinator(): { readonly context: FakeCoreContext; readonly steward: GrantCoordinator } {
  const context = new FakeCoreContext();
  return { context, steward: new GrantCoordinator(context, new SingleHostDirectory(context)) };
}

describe('GrantSteward', () => {
  it('answers a repeated ask with what is left of the same slot', () => {
    const { context, steward } = createCoordinator();
    const first = steward.handleSlotRequest(FIRST_HOST, createRequest('ask-1'), COLD_LIMIT);
    context.clock.advance(500);
    const repeated = steward.handleSlotRequest(FIRST_HOST, createRequest('ask-1'), COLD_LIMIT);
    equal(first.durationMs, 2000);
    const { driftFraction, marginMs } = DEFAULT_GRANT_OPTIONS;
    const freeAtMs = 2000 * (1 + driftFraction) + marginMs;
    const endsAtMs = 500 + repeated.durationMs * (1 + driftFraction);
    ok(repeated.durationMs > 0 && repeated.durationMs < 2000);
    ok(endsAtMs <= freeAtMs - marginMs, 'ends before the steward grants the slot again');
    equal(steward.countGrants(toId('engine-1')), 1);
  });

  it('gives the slot of an ask to no other host', () => {
    const { steward } = createCoordinator();
    steward.handleSlotRequest(FIRST_HOST, createRequest('ask-1'), COLD_LIMIT);
    equal(steward.handleSlotRequest(SECOND_HOST, createRequest('ask-1'), COLD_LIMIT).durationMs, 0);
    equal(steward.handleSlotRequest(SECOND_HOST, createRequest('ask-2'), COLD_LIMIT).durationMs, 0);
  });

  it('counts attempts that were sent before the start was noticed', () => {
    const { steward } = createCoordinator();
    equal(steward.handleSlotRequest(FIRST_HOST, createRequest('ask-1'), COLD_LIMIT, 1).durationMs, 0);
    equal(steward.handleSlotRequest(FIRST_HOST, createRequest('ask-1'), COLD_LIMIT, 0).durationMs, 2000);
  });
});
