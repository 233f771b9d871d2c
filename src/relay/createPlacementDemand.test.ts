import { deepEqual } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { EXECUTION_SEMANTICS } from '../directory/ServingConfiguration.ts';
import { toId, type PoolId } from '../lib/ids.ts';
import { RequestSubject } from '../quarantine/RequestSubject.ts';
import { createPlacementDemand } from './createPlacementDemand.ts';
import type { RelayParameters } from './RelayContext.ts';

const PARAMETERS: RelayParameters = {
  configurationVersion: 1,
  route: {
    name: 'stream',
    host: 'a.example',
    pathPrefix: '/',
    executionSemantics: EXECUTION_SEMANTICS.repeatable,
    isStream: true,
    isResumable: true,
    timeoutMs: 20_000,
    targetLatencyMs: 1_000,
    gapTargetMs: 400,
    callerPatienceMs: 4_000,
    priority: 0,
    maxAttempts: 2,
    targets: [],
    stages: [],
    isPublic: true,
  },
  poolId: toId<PoolId>('pool'),
  subject: new RequestSubject({
    account: null,
    method: 'POST',
    host: 'a.example',
    path: '/',
    body: Buffer.alloc(0),
    sharedPartIds: [],
  }),
  trial: null,
  account: null,
  priority: 0,
  deadlineAtMs: 0,
};

function getTimes(waitedMs: number, silentMs: number, softwareVersion: string | null): number[] {
  const { onTimeMs, remainingMs } = createPlacementDemand(PARAMETERS, {
    profile: {
      id: 'r',
      remainingMs: null,
      callerKey: null,
      generation: null,
      pieceCounts: [],
      pieceKey: null,
      lastEventId: null,
      resumedRequestId: null,
    },
    waitedMs,
    remainingMs: 9_000,
    silentMs,
    excludedIds: [],
    softwareVersion,
    isPlacedAgain: false,
  });
  return [onTimeMs, remainingMs];
}

describe('createPlacementDemand', () => {
  it('keeps a new stream on time until its latency target', () => {
    deepEqual(getTimes(300, 300, null), [700, 3_700]);
  });

  it('does not place a begun stream behind late ones when its latency target has passed', () => {
    deepEqual(getTimes(2_500, 500, 'v1'), [3_500, 3_500]);
  });
});
