import { mkdirSync } from 'node:fs';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { exhaustiveSwitchError } from '../../src/lib/exhaustiveSwitchError.ts';
import { SeededRandomSource } from '../../src/lib/SeededRandomSource.ts';
import { STORE_KEYS } from '../../platform/WIRE.ts';
import { StoreStandin, type StoreFault } from '../../standins/store/StoreStandin.ts';
import { SoakCaller } from './SoakCaller.ts';
import { SoakHost } from './SoakHost.ts';
import { SoakProxy } from './SoakProxy.ts';
import { REQUEST_KIND, type SoakRecord } from './SoakRecord.ts';
import { SoakUpstream } from './SoakUpstream.ts';
import { createSoakManifest, SOAK_POOLS } from './createSoakManifest.ts';
import { createSoakPlan, type PlannedFault, type SoakFault } from './createSoakPlan.ts';
import { findViolations, type Violation } from './findViolations.ts';

/** What a run of the soak is made from. */
export interface SoakRunOptions {
  readonly seed: number;
  readonly hostCount: number;
  /** Span in which faults begin. */
  readonly faultMs: number;
  /** Span after the last fault in which service has to be back. */
  readonly calmMs: number;
  /** Folder for settings and logs. */
  readonly folder: string;
  /** The second number of the hosts' loopback addresses; another one for each run at a time. */
  readonly network: number;
}

interface PlacedUpstream {
  readonly upstream: SoakUpstream;
  readonly proxy: SoakProxy;
  readonly failureDomain: string;
}

const DOMAINS = ['a', 'b', 'c'];
const UPSTREAMS_PER_POOL = 3;
const REQUESTS_PER_HOST_MS = 100;
const KINDS = Object.values(REQUEST_KIND);
const SLOW_MS = 400;
const DRAIN_MS = 1_500;
/** Time for the last requests to end, and how often that is looked at. */
const END_MS = 8_000;
const END_CHECK_MS = 100;

function getStoreFault(how: Extract<SoakFault, { kind: 'store' }>['how']): StoreFault {
  switch (how) {
    case 'down':
    case 'answersLost':
      return { kind: how };
    case 'slow':
      return { kind: how, delayMs: SLOW_MS };
    case 'forget':
      return { kind: 'none' };
    default:
      throw exhaustiveSwitchError(how);
  }
}

/** One seed of the soak: real hosts in processes, callers, upstreams, a store, and faults. */
export class SoakRun {
  readonly #options: SoakRunOptions;

  readonly #random: SeededRandomSource;

  readonly #record: SoakRecord = {
    callers: [], runs: [], hostSpans: [], calmSinceMs: Infinity,
  };

  readonly #store = new StoreStandin();

  #storeProxy: SoakProxy | null = null;

  readonly #upstreams: PlacedUpstream[] = [];

  #hosts: SoakHost[] = [];

  #version = 1;

  /**
   * @param options - see {@link SoakRunOptions}
   */
  constructor(options: SoakRunOptions) {
    this.#options = options;
    this.#random = new SeededRandomSource(options.seed);
  }

  /** How many requests were sent. */
  get requestCount(): number {
    return this.#record.callers.length;
  }

  /** How many requests were answered with success. */
  get servedCount(): number {
    return this.#record.callers.filter(({ status, isWhole }) => status === 200 && isWhole).length;
  }

  /** @returns the promises that were not kept */
  async run(): Promise<Violation[]> {
    const caller = new SoakCaller(this.#record.callers);
    let timer: NodeJS.Timeout | null = null;
    try {
      await this.#start();
      timer = setInterval(() => this.#sendRequests(caller), REQUESTS_PER_HOST_MS);
      await sleep(1_000);
      const { faultMs, calmMs } = this.#options;
      const startMs = performance.now();
      const plan = createSoakPlan(new SeededRandomSource(this.#options.seed), faultMs);
      await Promise.all(plan.map(async (planned) => {
        await sleep(Math.max(0, startMs + planned.atMs - performance.now()));
        await this.#strike(planned);
      }));
      this.#record.calmSinceMs = performance.now();
      await sleep(calmMs);
      clearInterval(timer);
      await this.#waitForEnds(performance.now() + END_MS);
      return findViolations(this.#record, performance.now());
    } finally {
      clearInterval(timer ?? undefined);
      caller.close();
      await this.#close();
    }
  }

  async #waitForEnds(untilMs: number): Promise<void> {
    const isDone = this.#record.callers.every(({ endedAtMs }) => endedAtMs !== null);
    if (!isDone && performance.now() < untilMs) {
      await sleep(END_CHECK_MS);
      await this.#waitForEnds(untilMs);
    }
  }

  async #start(): Promise<void> {
    mkdirSync(this.#options.folder, { recursive: true });
    await this.#store.listen();
    this.#storeProxy = new SoakProxy(Number(this.#store.address.split(':')[1]));
    await this.#storeProxy.listen();
    this.#store.put(STORE_KEYS.configuration, createSoakManifest(this.#version));
    await Promise.all(Object.values(SOAK_POOLS).flatMap((pool) => (
      Array.from({ length: UPSTREAMS_PER_POOL }, async (_, index) => {
        const upstream = new SoakUpstream(pool, (run) => this.#record.runs.push(run));
        await upstream.listen();
        const proxy = new SoakProxy(upstream.port);
        await proxy.listen();
        const placed = { upstream, proxy, failureDomain: DOMAINS[index % DOMAINS.length] ?? '' };
        this.#upstreams.push(placed);
        this.#register(placed, 'ready');
      }))));
    const storeAddress = this.#storeProxy.address;
    this.#hosts = Array.from({ length: this.#options.hostCount }, (_, index) => new SoakHost({
      index,
      folder: this.#options.folder,
      ip: `127.${this.#options.network}.0.${index + 1}`,
      failureDomain: DOMAINS[index % DOMAINS.length] ?? '',
      storeAddress,
      onSpan: (span) => this.#record.hostSpans.push(span),
    }));
    await Promise.all(this.#hosts.map((host) => host.start()));
  }

  #register({ upstream, proxy, failureDomain }: PlacedUpstream, state: string): void {
    this.#store.put(`${STORE_KEYS.upstreamPrefix}${upstream.id}`, {
      service: upstream.kind,
      address: proxy.address,
      zone: failureDomain,
      slots: 8,
      state,
      cold_left_ms: 0,
      born: upstream.startedAtMs,
    });
  }

  #sendRequests(caller: SoakCaller): void {
    this.#hosts.forEach((host, index) => {
      const pick = Math.floor(this.#random.getFraction() * KINDS.length);
      const kind = KINDS[pick] ?? REQUEST_KIND.once;
      caller.send(index, host.callerAddress, kind);
    });
  }

  async #strike({ fault, pick, durationMs }: PlannedFault): Promise<void> {
    switch (fault.kind) {
      case 'host':
        await this.#strikeHost(fault.how, pick, durationMs);
        return;
      case 'upstream':
        await this.#strikeUpstream(fault.how, pick);
        return;
      case 'connection':
        await this.#strikeConnection(fault, pick, durationMs);
        return;
      case 'store':
        await this.#strikeStore(fault.how, durationMs);
        return;
      case 'manifest':
        this.#version += 1;
        this.#store.put(STORE_KEYS.configuration, createSoakManifest(this.#version));
        return;
      default:
        throw exhaustiveSwitchError(fault);
    }
  }

  async #strikeHost(
    how: Extract<SoakFault, { kind: 'host' }>['how'],
    pick: number,
    durationMs: number,
  ): Promise<void> {
    const host = this.#hosts[pick % this.#hosts.length];
    switch (how) {
      case 'terminate':
        await host?.restart('SIGTERM');
        return;
      case 'kill':
        await host?.restart('SIGKILL');
        return;
      case 'pause':
        await host?.pause(durationMs);
        return;
      case 'reload':
        host?.reload();
        return;
      default:
        throw exhaustiveSwitchError(how);
    }
  }

  async #strikeUpstream(how: 'crash' | 'drain', pick: number): Promise<void> {
    const placed = this.#upstreams[pick % this.#upstreams.length];
    if (placed === undefined) {
      return;
    }
    const key = `${STORE_KEYS.upstreamPrefix}${placed.upstream.id}`;
    if (how === 'drain') {
      this.#register(placed, 'draining');
      await sleep(DRAIN_MS);
    }
    placed.upstream.crash();
    this.#store.remove(key);
    this.#register(placed, 'ready');
  }

  async #strikeConnection(
    { how, target }: Extract<SoakFault, { kind: 'connection' }>,
    pick: number,
    durationMs: number,
  ): Promise<void> {
    const proxy = target === 'store'
      ? this.#storeProxy
      : this.#upstreams[pick % this.#upstreams.length]?.proxy ?? null;
    if (how === 'reset' || proxy === null) {
      proxy?.reset();
      return;
    }
    proxy.fault = how;
    await sleep(durationMs);
    proxy.fault = 'none';
  }

  async #strikeStore(
    how: Extract<SoakFault, { kind: 'store' }>['how'],
    durationMs: number,
  ): Promise<void> {
    if (how === 'forget') {
      this.#store.state.dropHistory();
    }
    this.#store.fault = getStoreFault(how);
    await sleep(durationMs);
    this.#store.fault = { kind: 'none' };
  }

  async #close(): Promise<void> {
    await Promise.all(this.#hosts.map((host) => host.stop()));
    this.#upstreams.forEach(({ upstream, proxy }) => {
      proxy.close();
      upstream.close();
    });
    this.#storeProxy?.close();
    await this.#store.close();
  }
}
