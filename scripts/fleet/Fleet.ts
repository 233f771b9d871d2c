import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { stringify } from 'yaml';
import type { ConfigurationRecord } from '../../src/configuration/records/ConfigurationRecord.ts';
import { assertExists } from '../../src/lib/assertExists.ts';
import type { HostSettings } from '../../src/settings/HostSettings.ts';
import type {
  DeployedUpstream, DeploymentDescription,
} from '../../standins/deployments/DeploymentDescription.ts';
import {
  createDeploymentConfiguration,
} from '../../standins/deployments/createDeploymentConfiguration.ts';
import { getDeployedUpstreams } from '../../standins/deployments/getDeployedUpstreams.ts';
import { putConfiguration } from '../../standins/deployments/putConfiguration.ts';
import { ChildProgram, type ChildExit } from './ChildProgram.ts';
import { startInBatches } from './startInBatches.ts';

const START_BATCH_SIZE = 8;
const START_TIMEOUT_MS = 60_000;
const STANDIN_STOP_TIMEOUT_MS = 5000;
const READY_TIMEOUT_MS = 20_000;
const READY_POLL_INTERVAL_MS = 20;
const STANDIN_FILE = 'standins/runStandin.ts';
const HOST_FILE = 'src/main.ts';
const STANDIN_READY = /^\{"url":"([^"]+)"\}$/;
const HOST_READY = /serves (http:\/\/\S+), peers at (\S+)/;
const LOOPBACK = '127.0.0.1';

/** Operator key of every host of the fleet. */
export const FLEET_OPERATOR_KEY = 'operator-key-of-the-fleet';

/** Options of a fleet. */
export interface FleetOptions {
  readonly deployment: DeploymentDescription;
  readonly hostCount: number;
  /** Time limit for the graceful shutdown of a host. */
  readonly stopTimeoutMs: number;
  /** Options of the platform's stand-in. */
  readonly platformOptions: Readonly<Record<string, unknown>>;
}

/** Defaults of {@link FleetOptions}. */
export const DEFAULT_FLEET_OPTIONS = { stopTimeoutMs: 20_000, platformOptions: {} } as const;

/** An entry host of the fleet. */
export interface FleetHost {
  readonly settings: HostSettings;
  readonly program: ChildProgram;
  readonly httpUrl: string;
}

/** A stand-in of the fleet. */
export interface FleetStandin {
  readonly program: ChildProgram;
  readonly url: string;
}

async function waitUntilReady(host: FleetHost, deadlineMs: number): Promise<void> {
  const response = await fetch(`${host.httpUrl}/readyz`);
  if (response.ok) {
    return;
  }
  if (performance.now() > deadlineMs || !host.program.isRunning) {
    throw new Error(`${host.settings.hostId} listens but is not ready: ${await response.text()}`);
  }
  await sleep(READY_POLL_INTERVAL_MS);
  await waitUntilReady(host, deadlineMs);
}

/** Runs a platform, upstreams and entry hosts, each in its own process. */
export class Fleet {
  readonly #options: FleetOptions;

  readonly #folder = mkdtempSync(join(tmpdir(), 'parsleylift-fleet-'));

  readonly #programs: ChildProgram[] = [];

  readonly #starting = new Set<Promise<ChildProgram>>();

  readonly #upstreams = new Map<string, FleetStandin>();

  readonly #hosts: FleetHost[] = [];

  #platform: FleetStandin | null = null;

  #configuration: ConfigurationRecord | null = null;

  private constructor(options: FleetOptions) {
    this.#options = options;
  }

  /**
   * Starts a fleet.
   *
   * @param options - the deployment, the number of hosts, and what differs from the defaults
   * @returns the fleet, with every process ready
   * @throws Error if a process does not start; the others are stopped then
   */
  static async create(
    options: Partial<FleetOptions> & Pick<FleetOptions, 'deployment' | 'hostCount'>,
  ): Promise<Fleet> {
    const fleet = new Fleet({ ...DEFAULT_FLEET_OPTIONS, ...options });
    try {
      await fleet.#start();
    } catch (error) {
      await fleet.close();
      throw error;
    }
    return fleet;
  }

  /** The entry hosts, assigned to the failure domains in turn. */
  get hosts(): readonly FleetHost[] {
    return this.#hosts;
  }

  /** The upstreams by their id. */
  get upstreams(): ReadonlyMap<string, FleetStandin> {
    return this.#upstreams;
  }

  /** The platform. */
  get platform(): FleetStandin {
    return assertExists(this.#platform, 'The platform of the fleet is not started.');
  }

  /** The platform's address. */
  get platformUrl(): string {
    return this.platform.url;
  }

  /** Number of running processes. */
  get processCount(): number {
    return this.#programs.filter((program) => program.isRunning).length;
  }

  /**
   * Starts a new entry host, or restarts one that has ended.
   *
   * @param index - index of the host, from 0; determines its name and failure domain
   * @returns the host, ready
   */
  async startHost(index: number): Promise<FleetHost> {
    const settings = this.#createSettings(index);
    const file = join(this.#folder, `${settings.hostId}.yaml`);
    writeFileSync(file, stringify(settings));
    const args = [HOST_FILE, 'serve', file];
    const program = await this.#startProgram(settings.hostId, args, HOST_READY);
    const host = { settings, program, httpUrl: program.readyMatch[1] ?? '' };
    this.#hosts[index] = host;
    await waitUntilReady(host, performance.now() + READY_TIMEOUT_MS);
    return host;
  }

  /**
   * Stops every process, entry hosts first, and waits until they have exited.
   *
   * @returns the exits of the hosts
   */
  async close(): Promise<ChildExit[]> {
    const { stopTimeoutMs } = this.#options;
    await Promise.allSettled(this.#starting);
    const hostPrograms = this.#hosts.map((host) => host.program);
    const exits = await Promise.all(hostPrograms.map((program) => program.stop(stopTimeoutMs)));
    await Promise.all(this.#programs.map((program) => program.stop(STANDIN_STOP_TIMEOUT_MS)));
    rmSync(this.#folder, { recursive: true, force: true });
    return exits;
  }

  async #start(): Promise<void> {
    const { deployment, hostCount, platformOptions } = this.#options;
    this.#platform = await this.#startStandin('platform', 'platform', platformOptions);
    const upstreams = getDeployedUpstreams(deployment);
    await startInBatches(upstreams, START_BATCH_SIZE, (upstream) => this.#startUpstream(upstream));
    const urls = new Map([...this.#upstreams].map(([id, standin]) => [id, standin.url]));
    this.#configuration = createDeploymentConfiguration(deployment, urls);
    await putConfiguration(this.platformUrl, this.#configuration);
    const indexes = Array.from({ length: hostCount }, (_, index) => index);
    await startInBatches(indexes, START_BATCH_SIZE, (index) => this.startHost(index));
  }

  async #startUpstream(upstream: DeployedUpstream): Promise<void> {
    const { upstreamId, kind, standinOptions } = upstream;
    const standin = await this.#startStandin(upstreamId, kind, standinOptions);
    this.#upstreams.set(upstreamId, standin);
  }

  async #startStandin(name: string, kind: string, options: object): Promise<FleetStandin> {
    const args = [STANDIN_FILE, kind, '--options', JSON.stringify(options)];
    const program = await this.#startProgram(name, args, STANDIN_READY);
    return { program, url: program.readyMatch[1] ?? '' };
  }

  async #startProgram(
    name: string,
    args: readonly string[],
    readyPattern: RegExp,
  ): Promise<ChildProgram> {
    const starting = ChildProgram.start({
      name,
      args,
      env: { PARSLEYLIFT_OPERATOR_KEY: FLEET_OPERATOR_KEY },
      logFile: join(this.#folder, `${name}.log`),
      readyPattern,
      startTimeoutMs: START_TIMEOUT_MS,
    });
    this.#starting.add(starting);
    const program = await starting.finally(() => this.#starting.delete(starting));
    this.#programs.push(program);
    return program;
  }

  #createSettings(index: number): HostSettings {
    const { failureDomainIds } = this.#options.deployment;
    return {
      hostId: `entry-${index + 1}`,
      failureDomainId: failureDomainIds[index % failureDomainIds.length] ?? '',
      http: { host: LOOPBACK, port: 0 },
      peers: { host: LOOPBACK, port: 0 },
      platformUrl: this.platformUrl,
      operatorKey: { env: 'PARSLEYLIFT_OPERATOR_KEY' },
      logLevel: 'warn',
    };
  }
}
