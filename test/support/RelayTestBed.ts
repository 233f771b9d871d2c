import {
  createServer, request as sendRequest, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type { AddressInfo } from 'node:net';
import { UPSTREAM_PATHS } from '../../platform/WIRE.ts';
import {
  toId, type HostId, type PoolId, type UpstreamId,
} from '../../src/lib/ids.ts';
import type { RelayHost } from '../../src/relay/RelayHost.ts';
import type { RolloutStatus } from '../../src/rollouts/RolloutStatus.ts';
import { UpstreamConnections } from '../../src/upstreams/UpstreamConnections.ts';
import { MemoryDirectoryStore } from './MemoryDirectoryStore.ts';
import { createBedConfiguration } from './createBedConfiguration.ts';
import { TEST_IP } from './getFreePort.ts';
import { startTestHost } from './startTestHost.ts';

/** Pool of all upstreams in the test bed. */
const POOL_ID = toId<PoolId>('pool');

/** Start of each upstream's process by its entry. */
export const STARTED_AT_MS = 1;

const RESTARTED_AT_MS = STARTED_AT_MS + 1;

const HOST_ID = toId<HostId>('host');

/** Answer as its caller received it. */
export interface BedAnswer {
  readonly status: number;
  readonly text: string;
  readonly headers: IncomingMessage['headers'];
}

/** Who answers the reports of upstreams: the bed, their handlers, or nobody. */
export type ReportSource = 'bed' | 'handlers' | 'nobody';

/** Answers one request to an upstream of the test bed. */
export type UpstreamHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** A real entry host with its callers and upstreams, all in the test's process. */
export class RelayTestBed {
  readonly #servers: Server[] = [];

  readonly #store = new MemoryDirectoryStore();

  readonly #connections = new UpstreamConnections();

  #host: RelayHost | null = null;

  /** Base URL for callers. */
  url = '';

  /** Who answers the reports of upstreams. */
  reports: ReportSource = 'bed';

  /** Start of upstreams' processes by their reports, where it differs from the entries. */
  readonly #restartedAtMs = new Map<string, number>();

  /** URL of the host's readiness check. */
  readinessUrl = '';

  /**
   * @param handlers - request handler of each upstream
   * @param retrySlack - number of retries allowed at any load
   * @param softwareVersions - version of each upstream's software; `v1` where it is missing
   * @param exposureShare - share of the requests that a bad target of a rollout may get
   */
  async start(
    handlers: readonly UpstreamHandler[],
    retrySlack = 50,
    softwareVersions: readonly string[] = [],
    exposureShare = 0.1,
  ): Promise<void> {
    await Promise.all(handlers.map((handler, index) => (
      this.#addUpstream(`u${index}`, handler, softwareVersions[index] ?? 'v1'))));
    this.#store.changes.push({
      kind: 'configuration',
      configuration: createBedConfiguration(POOL_ID),
    });
    this.#store.changes.push({
      kind: 'host',
      entry: {
        id: HOST_ID,
        failureDomain: 'a',
        peerAddress: `${TEST_IP}:1`,
        processorCores: 1,
        linkMbps: 1_000,
        registeredRevision: 1,
      },
    });
    const { host, callerPort, readinessPort } = await startTestHost({
      hostId: HOST_ID,
      store: this.#store,
      connections: this.#connections,
      retrySlack,
      exposureShare,
    });
    this.#host = host;
    this.url = `http://${TEST_IP}:${callerPort}`;
    this.readinessUrl = `http://${TEST_IP}:${readinessPort}/ready`;
  }

  /**
   * Sends a request on a new connection, with a `Host` header that `fetch` does not allow.
   *
   * @param path - path of the request
   * @param headers - headers that differ from a request with a valid key
   * @param body - body of the request
   * @returns the complete answer
   */
  send(
    path: string,
    headers: Readonly<Record<string, string>> = {},
    body: Buffer | null = null,
  ): Promise<BedAnswer> {
    return new Promise((resolve, reject) => {
      const request = sendRequest(`${this.url}${path}`, {
        agent: false,
        method: body === null ? 'GET' : 'POST',
        headers: {
          host: 'a.example', 'x-request-id': 'r1', authorization: 'Bearer key', ...headers,
        },
      }, (response) => {
        let text = '';
        response.on('data', (chunk: Buffer) => {
          text += chunk.toString();
        });
        response.on('end', () => resolve({
          status: response.statusCode ?? 0, text, headers: response.headers,
        }));
        response.on('error', reject);
      });
      request.on('error', reject);
      request.end(body);
    });
  }

  /** @param index - index of an upstream that ends; its address then refuses connections */
  endUpstream(index: number): void {
    this.#servers[index]?.close();
    this.#servers[index]?.closeAllConnections();
  }

  /**
   * Changes the entries in the store so that the host does not hear of it.
   *
   * @param softwareVersion - the version at which all upstreams have started again
   */
  restartUnnoticed(softwareVersion: string): void {
    this.#store.changes.forEach((change) => {
      if (change.kind === 'upstream') {
        this.#restartedAtMs.set(change.entry.id, RESTARTED_AT_MS);
        this.#store.restartedUpstreams.set(change.entry.id, {
          ...change.entry, softwareVersion, startedAtMs: RESTARTED_AT_MS,
        });
      }
    });
  }

  /**
   * Starts one upstream again under its id while it is cut off from the store.
   *
   * @param index - index of the upstream
   */
  restartCutOff(index: number): void {
    this.#restartedAtMs.set(`u${index}`, RESTARTED_AT_MS);
  }

  /**
   * Lets the store have the entry of an upstream that started again.
   *
   * @param index - index of the upstream
   * @param softwareVersion - its version now
   */
  announceRestart(index: number, softwareVersion: string): void {
    this.#store.changes.forEach((change) => {
      if (change.kind === 'upstream' && change.entry.id === `u${index}`) {
        this.#store.changes.push({
          kind: 'upstream',
          entry: { ...change.entry, softwareVersion, startedAtMs: RESTARTED_AT_MS },
        });
      }
    });
  }

  /**
   * Orders a rollout in the pool of all upstreams.
   *
   * @param targetVersion - the target
   * @param durationMs - time to the deadline
   */
  orderRollout(targetVersion: string, durationMs: number): void {
    const orderId = `${this.#store.changes.length}:${targetVersion}`;
    this.#store.changes.push({
      kind: 'rolloutOrdered',
      order: {
        poolId: POOL_ID, orderId, targetVersion, durationMs,
      },
    });
  }

  /** Removes the order of a rollout. */
  withdrawRollout(): void {
    this.#store.changes.push({ kind: 'rolloutWithdrawn', poolId: POOL_ID });
  }

  /** The statuses of rollouts in the order in which they were written. */
  get rolloutStatuses(): readonly RolloutStatus[] {
    return this.#store.changes
      .flatMap((change) => (change.kind === 'rolloutStatus' ? [change.status] : []));
  }

  /** Lets the store answer no reads of single entries. */
  turnAway(): void {
    this.#store.isUnavailable = true;
  }

  /** @returns once the host has completed its planned stop */
  async stop(): Promise<void> {
    await this.#host?.stop();
  }

  /** Stops the host and all upstreams. */
  async close(): Promise<void> {
    await this.stop();
    await this.#connections.close();
    this.#servers.forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
  }

  async #addUpstream(
    id: string,
    handler: UpstreamHandler,
    softwareVersion: string,
  ): Promise<void> {
    const server = createServer((request, response) => {
      response.setHeader('x-request-id', request.headers['x-request-id'] ?? '');
      if (request.url !== UPSTREAM_PATHS.report || this.reports === 'handlers') {
        handler(request, response);
      } else if (this.reports === 'bed') {
        response.end(JSON.stringify({ born: this.#restartedAtMs.get(id) ?? STARTED_AT_MS }));
      } else {
        request.socket.destroy();
      }
    });
    this.#servers.push(server);
    await new Promise<void>((resolve) => {
      server.listen(0, TEST_IP, resolve);
    });
    this.#store.changes.push({
      kind: 'upstream',
      entry: {
        id: toId<UpstreamId>(id),
        poolId: POOL_ID,
        address: `${TEST_IP}:${(server.address() as AddressInfo).port}`,
        failureDomain: 'a',
        isDraining: false,
        slots: 4,
        softwareVersion,
        coldRemainingMs: 0,
        startedAtMs: STARTED_AT_MS,
      },
    });
  }
}
