import { deepEqual, equal } from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { pino } from 'pino';
import { NO_MAKER_ROLLOUTS } from '../../test/support/NO_MAKER_ROLLOUTS.ts';
import { MAX_CACHED_PARTS, MAX_HELD_PIECES } from '../../test/support/PlacementTestBed.ts';
import { UNLIMITED_QUOTAS } from '../../test/support/UNLIMITED_QUOTAS.ts';
import { UNLIMITED_RATES } from '../../test/support/UNLIMITED_RATES.ts';
import { UNLIMITED_RETRIES } from '../../test/support/UNLIMITED_RETRIES.ts';
import { Directory } from '../directory/Directory.ts';
import { UpstreamNoticeHandler } from '../directory/UpstreamNoticeHandler.ts';
import { toId, type HostId, type PoolId } from '../lib/ids.ts';
import { SystemClock } from '../time/SystemClock.ts';
import type { PlacementResult } from './PlacementRequest.ts';
import { PlacementService } from './PlacementService.ts';

let service: PlacementService | null = null;

function createService(): PlacementService {
  const clock = new SystemClock();
  const directory = new Directory(clock);
  const logger = pino({ level: 'silent' });
  service = new PlacementService({
    clock,
    directory,
    caller: {
      run: () => new Promise(() => {}),
      release: async () => {},
    },
    notices: new UpstreamNoticeHandler(clock, directory, logger),
    retryBudget: UNLIMITED_RETRIES,
    rates: UNLIMITED_RATES,
    readEngineFigures: async () => null,
    rollouts: NO_MAKER_ROLLOUTS,
    quotas: UNLIMITED_QUOTAS,
    maxHeldPieces: MAX_HELD_PIECES,
    maxCachedParts: MAX_CACHED_PARTS,
    reachability: { recordSend: () => {}, recordAnswer: () => {}, recordUnreachable: () => {} },
    logger,
  });
  return service;
}

function countTimers(): number {
  return process.getActiveResourcesInfo().filter((name) => name === 'Timeout').length;
}

/** Places a request in a pool without engines. */
function place({ coordinator }: PlacementService, remainingMs: number): Promise<PlacementResult> {
  return new Promise((resolve) => {
    coordinator.place({
      requestId: 'r',
      account: null,
      kind: '',
      poolId: toId<PoolId>('engines'),
      stages: [],
      pieceCounts: [],
      pieceKey: 'k',
      parts: [],
      promptTokens: 10,
      maxOutputTokens: 10,
      priority: 0,
      onTimeMs: remainingMs,
      remainingMs,
      excludedIds: [],
      softwareVersion: null,
      isPlacedAgain: false,
      domains: [],
      standingResults: [],
      hostId: toId<HostId>('host'),
      limitReports: [],
      openGenerations: [],
    }, resolve);
  });
}

describe('PlacementService', () => {
  afterEach(() => service?.close());

  it('keeps no timer while no request waits', async () => {
    const before = countTimers();
    const created = createService();
    equal(countTimers(), before);
    await place(created, 60);
    await new Promise((resolve) => {
      setTimeout(resolve, 60);
    });
    equal(countTimers(), before);
  });

  it('refuses a waiting request at its deadline without any other event', async () => {
    const result = await place(createService(), 60);
    deepEqual(result.kind, 'refused');
  });
});
