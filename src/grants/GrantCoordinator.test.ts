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

function createCoordinator(): {
  readonly context: FakeCoreContext; readonly coordinator: GrantCoordinator;
} {
  const context = new FakeCoreContext();
  return {
    context, coordinator: new GrantCoordinator(context, new SingleHostDirectory(context)),
  };
}

describe('GrantCoordinator', () => {
  it('answers a repeated request with the remaining time of the same slot', () => {
    const { context, coordinator } = createCoordinator();
    const first = coordinator.handleSlotRequest(
      FIRST_HOST,
      createRequest('ask-1'),
      COLD_LIMIT,
    );
    context.clock.advance(500);
    const repeated = coordinator.handleSlotRequest(
      FIRST_HOST,
      createRequest('ask-1'),
      COLD_LIMIT,
    );
    equal(first.durationMs, 2000);
    const { driftFraction, marginMs } = DEFAULT_GRANT_OPTIONS;
    const freeAtMs = 2000 * (1 + driftFraction) + marginMs;
    const endsAtMs = 500 + repeated.durationMs * (1 + driftFraction);
    ok(repeated.durationMs > 0 && repeated.durationMs < 2000);
    ok(endsAtMs <= freeAtMs - marginMs, 'the slot ends before the coordinator grants it again');
    equal(coordinator.countGrants(toId('engine-1')), 1);
  });

  it('denies a slot that another host holds, also under the same request id', () => {
    const { coordinator } = createCoordinator();
    coordinator.handleSlotRequest(FIRST_HOST, createRequest('ask-1'), COLD_LIMIT);
    equal(
      coordinator.handleSlotRequest(SECOND_HOST, createRequest('ask-1'), COLD_LIMIT).durationMs,
      0,
    );
    equal(
      coordinator.handleSlotRequest(SECOND_HOST, createRequest('ask-2'), COLD_LIMIT).durationMs,
      0,
    );
  });

  it('counts attempts that were sent without a slot against the limit', () => {
    const { coordinator } = createCoordinator();
    equal(
      coordinator.handleSlotRequest(FIRST_HOST, createRequest('ask-1'), COLD_LIMIT, 1).durationMs,
      0,
    );
    equal(
      coordinator.handleSlotRequest(FIRST_HOST, createRequest('ask-1'), COLD_LIMIT, 0).durationMs,
      2000,
    );
  });
});
