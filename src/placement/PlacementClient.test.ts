import { deepEqual, equal, ok } from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { pino } from 'pino';
import {
  ENGINE_POOL_ID, MAX_CACHED_PARTS, MAX_HELD_PIECES, PlacementTestBed,
} from '../../test/support/PlacementTestBed.ts';
import { NO_MAKER_ROLLOUTS } from '../../test/support/NO_MAKER_ROLLOUTS.ts';
import { UNLIMITED_QUOTAS } from '../../test/support/UNLIMITED_QUOTAS.ts';
import { UNLIMITED_RATES } from '../../test/support/UNLIMITED_RATES.ts';
import { UNLIMITED_RETRIES } from '../../test/support/UNLIMITED_RETRIES.ts';
import { getFreePort, TEST_IP } from '../../test/support/getFreePort.ts';
import { Directory } from '../directory/Directory.ts';
import type { RouteStage } from '../directory/ServingConfiguration.ts';
import { toId, type HostId, type PoolId } from '../lib/ids.ts';
import { UpstreamConnections } from '../upstreams/UpstreamConnections.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { PlacementClient } from './PlacementClient.ts';
import { PlacementCoordinator } from './PlacementCoordinator.ts';
import { REFUSAL, type PlacementDemand } from './PlacementRequest.ts';
import { HAND_OVER_REASON } from './HAND_OVER_REASON.ts';
import { PeerServer } from './PeerServer.ts';

const FIRST: RouteStage = { poolId: toId<PoolId>('first'), after: [], resultBytes: 1 };
const SECOND: RouteStage = { poolId: toId<PoolId>('second'), after: [0], resultBytes: 1 };
const DEMAND: PlacementDemand = {
  requestId: 'r',
  account: null,
  kind: '',
  poolId: ENGINE_POOL_ID,
  stages: [FIRST, SECOND],
  pieceCounts: [1, 1],
  pieceKey: 'key',
  parts: [],
  promptTokens: 10,
  maxOutputTokens: 10,
  priority: 0,
  onTimeMs: 5_000,
  remainingMs: 9_000,
  excludedIds: [],
  softwareVersion: null,
  isPlacedAgain: false,
};
const POLL_MS = 5;
const LIMITED_TIME = { timeout: 5_000 } as const;

function createBed(): PlacementTestBed {
  const bed = new PlacementTestBed({ first: { makers: 1 }, second: { makers: 1 } });
  bed.setStagedRoute(['first', 'second']);
  return bed;
}

/** Answers the calls of a coordinator until a number of them is answered. */
async function completeCalls(bed: PlacementTestBed, count: number): Promise<void> {
  let answered = 0;
  while (answered < count) {
    const calls = bed.takeCalls();
    calls.forEach((call) => bed.complete(call));
    answered += calls.length;
    // eslint-disable-next-line no-await-in-loop -- polls for calls
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
}

/** A client with its own coordinator and those of other hosts. */
class ClientRig {
  readonly own = createBed();

  readonly connections = new UpstreamConnections();

  readonly client: PlacementClient;

  readonly #servers: PeerServer[] = [];

  constructor() {
    this.client = new PlacementClient({
      clock: this.own.clock,
      hostId: toId<HostId>('own'),
      directory: this.own.directory,
      coordinator: this.own.coordinator,
      rates: { createReports: () => [], applyReports: () => {} },
      lender: { recordEnded: () => {} },
      connections: this.connections,
      logger: pino({ level: 'silent' }),
    });
  }

  async addHost(name: string, registeredRevision: number): Promise<PlacementTestBed> {
    const bed = createBed();
    await this.addCoordinator(name, registeredRevision, bed.coordinator);
    return bed;
  }

  async addCoordinator(
    name: string,
    registeredRevision: number,
    coordinator: PlacementCoordinator,
  ): Promise<void> {
    const peerAddress = `${TEST_IP}:${await getFreePort()}`;
    const server = new PeerServer(coordinator);
    await server.listen(peerAddress);
    this.#servers.push(server);
    this.addEntry(name, registeredRevision, peerAddress);
  }

  addEntry(name: string, registeredRevision: number, peerAddress: string): void {
    this.own.directory.apply({
      kind: 'host',
      entry: {
        id: toId<HostId>(name),
        failureDomain: 'a',
        peerAddress,
        processorCores: 1,
        linkMbps: 1_000,
        registeredRevision,
      },
    });
  }

  async close(): Promise<void> {
    this.client.close();
    await this.connections.close();
    await Promise.all(this.#servers.map((server) => server.close()));
  }
}

describe('PlacementClient', () => {
  let rig: ClientRig | null = null;

  afterEach(async () => {
    await rig?.close();
  });

  it('passes the results of a leaving coordinator to the next one', async () => {
    rig = new ClientRig();
    const oldest = await rig.addHost('oldest', 1);
    const next = await rig.addHost('next', 2);
    const placement = rig.client.place(DEMAND);
    await completeCalls(oldest, 1);
    const [second] = oldest.takeCalls();
    oldest.coordinator.setHandingOver(HAND_OVER_REASON.leaving);
    ok(second);
    oldest.complete(second);
    const result = await placement.result;
    equal(result.kind, 'placed');
    deepEqual(next.calls, []);
  });

  it('falls back to its own coordinator when the chosen host does not answer', async () => {
    rig = new ClientRig();
    rig.addEntry('gone', 1, `${TEST_IP}:${await getFreePort()}`);
    const placement = rig.client.place(DEMAND);
    await completeCalls(rig.own, 2);
    equal((await placement.result).kind, 'placed');
  });

  it('sends a request to no third host after two were lost with it', LIMITED_TIME, async () => {
    rig = new ClientRig();
    const arrivals: string[] = [];
    const servers = await Promise.all(['first', 'second', 'third'].map(async (name, index) => {
      const server = createServer((socket) => {
        socket.once('data', () => {
          arrivals.push(name);
          socket.destroy();
        });
      });
      server.listen({ host: TEST_IP, port: 0 });
      await once(server, 'listening');
      rig?.addEntry(name, index + 1, `${TEST_IP}:${(server.address() as AddressInfo).port}`);
      return server;
    }));
    const result = await rig.client.place(DEMAND).result;
    servers.forEach((server) => server.close());
    deepEqual(result, {
      kind: 'refused', reason: REFUSAL.coordinatorsLost, retryAfterMs: 0,
    });
    deepEqual(arrivals, ['first', 'second']);
    deepEqual(rig.own.takeCalls(), []);
  });

  it('skips a restarted host that has no configuration yet', async () => {
    rig = new ClientRig();
    const clock = new ManualClock();
    await rig.addCoordinator('started-again', 1, new PlacementCoordinator({
      clock,
      directory: new Directory(clock),
      logger: pino({ level: 'silent' }),
      retryBudget: UNLIMITED_RETRIES,
      rates: UNLIMITED_RATES,
      rollouts: NO_MAKER_ROLLOUTS,
      quotas: UNLIMITED_QUOTAS,
      maxHeldPieces: MAX_HELD_PIECES,
      maxCachedParts: MAX_CACHED_PARTS,
      sendCall: () => {},
      sendRelease: () => {},
      requestEngineReport: () => {},
      requestRun: () => {},
    }));
    const next = await rig.addHost('next', 2);
    const placement = rig.client.place(DEMAND);
    await completeCalls(next, 2);
    equal((await placement.result).kind, 'placed');
  });

  it('refuses as unreachable when its own coordinator is leaving too', async () => {
    rig = new ClientRig();
    rig.own.coordinator.setHandingOver(HAND_OVER_REASON.leaving);
    const result = await rig.client.place(DEMAND).result;
    ok(result.kind === 'refused');
    equal(result.reason, 'unreachable');
  });
});
