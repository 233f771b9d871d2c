import {
  createServer, request as sendRequest, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {
  createServer as createTcpServer, type AddressInfo, type Server as TcpServer,
} from 'node:net';
import type { ServingConfiguration } from '../../src/directory/ServingConfiguration.ts';
import {
  toId, type HostId, type PoolId, type UpstreamId,
} from '../../src/lib/ids.ts';
import type { RelayHost } from '../../src/relay/RelayHost.ts';
import { CuttableConnections, type Cut } from './CuttableConnections.ts';
import { CuttableStore } from './CuttableStore.ts';
import { MemoryDirectoryStore } from './MemoryDirectoryStore.ts';
import { createHostChange } from './createHostChange.ts';
import { createBedConfiguration } from './createBedConfiguration.ts';
import { TEST_IP } from './getFreePort.ts';
import { sendRaw, type RawAnswer } from './readRawAnswer.ts';
import { startTestHost } from './startTestHost.ts';

const POOL_ID = toId<PoolId>('pool');
/** A pool that no route of the first configuration uses. */
export const SPARE_POOL_ID = toId<PoolId>('spare');
const CALLER_KEY = 'key';
const UPSTREAM_COUNT = 3;
const SPARE_UPSTREAM_COUNT = 2;
const RETRY_SLACK = 50;

interface FleetHost {
  readonly host: RelayHost;
  readonly connections: CuttableConnections;
  readonly storePath: CuttableStore;
  readonly port: number;
}

/** Real entry hosts that share upstreams; each host's path to all of them can be cut. */
export class StrandedFleet {
  readonly #store = new MemoryDirectoryStore();

  readonly #servers: Server[] = [];

  readonly #hosts: FleetHost[] = [];

  readonly #upstreamUrls = new Set<string>();

  readonly #silentHosts: TcpServer[] = [];

  #configuration = createBedConfiguration(POOL_ID);

  /** Ids of the requests that upstreams have run, once for each run. */
  readonly runs: string[] = [];

  /** Pool that ran each request last. */
  readonly runPools = new Map<string, PoolId>();

  /**
   * @param hostCount - number of hosts
   * @param handle - answers a request to an upstream
   */
  async start(
    hostCount: number,
    handle: (request: IncomingMessage, response: ServerResponse) => void,
  ): Promise<void> {
    const poolIds = [
      ...Array.from({ length: UPSTREAM_COUNT }, () => POOL_ID),
      ...Array.from({ length: SPARE_UPSTREAM_COUNT }, () => SPARE_POOL_ID),
    ];
    await Promise.all(poolIds.map((poolId, index) => this.#addUpstream(poolId, index, handle)));
    this.#store.changes.push({ kind: 'configuration', configuration: this.#configuration });
    await Promise.all(Array.from({ length: hostCount }, (_, index) => this.#addHost(index)));
  }

  /**
   * @param hostIndex - a host
   * @param cut - how it is cut off from now on
   */
  cut(hostIndex: number, cut: Cut): void {
    this.#getHost(hostIndex).connections.cut = cut;
  }

  /**
   * @param hostIndex - a host
   * @param isCut - whether answers of the store to it are lost from now on
   */
  cutStore(hostIndex: number, isCut: boolean): void {
    this.#getHost(hostIndex).storePath.isCut = isCut;
  }

  /** Registers a host that accepts connections and never answers, as a frozen one does. */
  async addSilentHost(): Promise<void> {
    const server = createTcpServer();
    await new Promise<void>((resolve) => {
      server.listen(0, TEST_IP, resolve);
    });
    const address = `${TEST_IP}:${(server.address() as AddressInfo).port}`;
    this.#silentHosts.push(server);
    this.#store.changes.push(createHostChange('silent', {
      peerAddress: address, forwardingAddress: address, comparesConfigurations: true,
    }));
  }

  /** @param change - makes the next version of the configuration, which is in the store then */
  configure(change: (configuration: ServingConfiguration) => Partial<ServingConfiguration>): void {
    const version = this.#configuration.version + 1;
    this.#configuration = {
      ...this.#configuration,
      ...change(this.#configuration),
      version,
      encoded: `version ${version}`,
    };
    this.#store.changes.push({ kind: 'configuration', configuration: this.#configuration });
  }

  /**
   * Sends a request without a body on a new connection.
   *
   * @param hostIndex - the host that the caller connects to
   * @param path - path of the request
   * @param id - id of the request
   * @returns the answer as its bytes arrived
   */
  sendRaw(hostIndex: number, path: string, id: string): Promise<RawAnswer> {
    return sendRaw({ host: TEST_IP, port: this.#getHost(hostIndex).port }, [
      `POST ${path} HTTP/1.1`,
      'Host: a.example',
      `X-Request-Id: ${id}`,
      'Authorization: Bearer key',
      'Content-Length: 0',
      'Connection: close',
      '',
      '',
    ].join('\r\n'));
  }

  /**
   * Sends a request on a new connection.
   *
   * @param hostIndex - the host that the caller connects to
   * @param path - path of the request
   * @param id - id of the request
   * @param key - key of the caller
   * @param body - body of the request
   * @returns status and text of the answer
   */
  send(
    hostIndex: number,
    path: string,
    id: string,
    key = CALLER_KEY,
    body = '',
  ): Promise<{ readonly status: number; readonly text: string }> {
    return new Promise((resolve, reject) => {
      const request = sendRequest({
        host: TEST_IP,
        port: this.#getHost(hostIndex).port,
        path,
        agent: false,
        headers: {
          host: 'a.example',
          'x-request-id': id,
          authorization: `Bearer ${key}`,
          'x-deadline-ms': '2500',
          'content-length': String(body.length),
        },
      }, (response) => {
        let text = '';
        response.on('data', (chunk: Buffer) => {
          text += chunk.toString();
        });
        response.on('end', () => resolve({ status: response.statusCode ?? 0, text }));
        response.on('error', reject);
      });
      request.on('error', reject);
      request.end(body);
    });
  }

  /** Stops all hosts and upstreams. */
  async close(): Promise<void> {
    await Promise.all(this.#hosts.map(({ host }) => host.stop()));
    await Promise.all(this.#hosts.map(({ connections }) => connections.close()));
    this.#silentHosts.forEach((server) => server.close());
    this.#servers.forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
  }

  #getHost(index: number): FleetHost {
    const host = this.#hosts[index];
    if (host === undefined) {
      throw new RangeError(`there is no host ${index}`);
    }
    return host;
  }

  async #addHost(index: number): Promise<void> {
    const connections = new CuttableConnections(this.#upstreamUrls);
    const storePath = new CuttableStore(this.#store);
    const { host, callerPort } = await startTestHost({
      hostId: toId<HostId>(`host-${index}`),
      store: storePath.view,
      connections,
      retrySlack: RETRY_SLACK,
    });
    this.#hosts[index] = {
      host, connections, storePath, port: callerPort,
    };
  }

  async #addUpstream(
    poolId: PoolId,
    index: number,
    handle: (request: IncomingMessage, response: ServerResponse) => void,
  ): Promise<void> {
    const server = createServer((request, response) => {
      const id = String(request.headers['x-request-id'] ?? '');
      response.setHeader('x-request-id', id);
      if (request.url !== '/health') {
        this.runs.push(id);
        this.runPools.set(id, poolId);
      }
      handle(request, response);
    });
    this.#servers.push(server);
    await new Promise<void>((resolve) => {
      server.listen(0, TEST_IP, resolve);
    });
    const address = `${TEST_IP}:${(server.address() as AddressInfo).port}`;
    this.#upstreamUrls.add(`http://${address}`);
    this.#store.changes.push({
      kind: 'upstream',
      entry: {
        id: toId<UpstreamId>(`u${index}`),
        poolId,
        softwareVersion: 'v1',
        address,
        failureDomain: 'a',
        isDraining: false,
        slots: 8,
        coldRemainingMs: 0,
        startedAtMs: null,
      },
    });
  }
}
