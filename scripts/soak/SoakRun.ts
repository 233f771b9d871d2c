import { mkdirSync } from 'node:fs';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { SeededRandomSource } from '../../src/lib/SeededRandomSource.ts';
import { SystemClock } from '../../src/time/SystemClock.ts';
import { StoreStandin } from '../../standins/store/StoreStandin.ts';
import type { RepeatBounds } from './RepeatBounds.ts';
import { SoakCaller, type SoakTarget } from './SoakCaller.ts';
import { SoakHost } from './SoakHost.ts';
import { SoakHostPaths } from './SoakHostPaths.ts';
import { SoakProbes } from './SoakProbes.ts';
import { SoakProxy } from './SoakProxy.ts';
import { REQUEST_KIND } from './SoakRecord.ts';
import { SoakFaultInjector, type PlacedUpstream } from './SoakFaultInjector.ts';
import { CRASHING_BODY, SoakUpstream } from './SoakUpstream.ts';
import { countRepeats, type RepeatReport } from './countRepeats.ts';
import { SOAK_POOLS } from './createSoakManifest.ts';
import { createSoakRecord } from './createSoakRecord.ts';
import { createSoakPlan } from './createSoakPlan.ts';
import type { PlannedFault } from './SoakFault.ts';
import { SOAK_PROFILE, type SoakProfile } from './SOAK_PROFILE.ts';
import { measureClosures, type ClosureReport } from './measureClosures.ts';
import { measureCrashes, type CrashReport } from './measureCrashes.ts';
import { measureLimits, type LimitReport } from './measureLimits.ts';
import { findViolations, type Violation } from './findViolations.ts';

/** Options of one soak run. */
export interface SoakRunOptions {
  readonly seed: number;
  readonly hostCount: number;
  /** Requests sent to each host per second, not counting callers' retries. */
  readonly requestsPerSecond: number;
  /** Immediate retries of a refused or failed request, by a fraction of the callers. */
  readonly callerRetries: number;
  readonly bounds: RepeatBounds;
  readonly profile: SoakProfile;
  /** Whether callers keep sending requests that crash the upstreams which run them. */
  readonly hasCrashingRequests: boolean;
  /** Faults to inject instead of those drawn from the seed. */
  readonly plan?: readonly PlannedFault[];
  /** Whether the first host gets all requests that would otherwise go to all hosts. */
  readonly isOneSided?: boolean;
  /** Period in which faults begin. */
  readonly faultPeriodMs: number;
  /** Period after the last fault in which service has to recover. */
  readonly recoveryMs: number;
  /** Folder for settings and logs. */
  readonly folder: string;
  /** Second octet of the hosts' loopback addresses; concurrent runs need different ones. */
  readonly network: number;
}

const DOMAINS = ['a', 'b', 'c'];
const UPSTREAMS_PER_POOL = 3;
const MS_PER_SECOND = 1_000;
const KINDS = Object.values(REQUEST_KIND);
const PLAIN_BODY = 'body';
/** Interval between probes of the configuration in force. */
const PROBE_INTERVAL_MS = 150;
/** Interval between requests that crash upstreams. */
const CRASHING_INTERVAL_MS = 700;
/** Fraction of the callers that retry immediately. */
const RETRYING_CALLER_FRACTION = 0.5;
/** Time for the last requests to end, and the interval at which this is checked. */
const END_TIMEOUT_MS = 8_000;
const END_CHECK_INTERVAL_MS = 100;

function getDomain(index: number): string {
  return DOMAINS[index % DOMAINS.length] ?? '';
}

/** Runs one seed of the soak: hosts as real processes, callers, upstreams, a store, and faults. */
export class SoakRun {
  readonly #options: SoakRunOptions;

  readonly #random: SeededRandomSource;

  /** Separate from the random source of the traffic, since the number of retries varies by run. */
  readonly #retryRandom: SeededRandomSource;

  readonly #record = createSoakRecord();

  readonly #clock = new SystemClock();

  readonly #store = new StoreStandin();

  readonly #storeProxies: SoakProxy[] = [];

  readonly #upstreams: PlacedUpstream[] = [];

  readonly #hosts: SoakHost[] = [];

  readonly #hostPaths: SoakHostPaths[] = [];

  readonly #faultInjector = new SoakFaultInjector({
    store: this.#store,
    storeProxies: this.#storeProxies,
    upstreams: this.#upstreams,
    hosts: this.#hosts,
    hostPaths: this.#hostPaths,
    onConfiguration: (configuration) => this.#record.configurations.push(configuration),
    onLinkSpan: (span) => this.#record.linkSpans.push(span),
    onStoreSpan: (span) => this.#record.storeSpans.push(span),
  });

  #crashingCount = 0;

  /**
   * @param options - see {@link SoakRunOptions}
   */
  constructor(options: SoakRunOptions) {
    this.#options = options;
    this.#random = new SeededRandomSource(options.seed);
    this.#retryRandom = new SeededRandomSource(options.seed + 1);
  }

  /** Number of requests sent. */
  get requestCount(): number {
    return this.#record.callers.length;
  }

  /** Number of requests answered completely with status 200. */
  get servedCount(): number {
    return this.#record.callers
      .filter(({ status, isComplete }) => status === 200 && isComplete).length;
  }

  /** @returns the repeated arrivals at each service */
  getRepeats(): RepeatReport[] {
    return countRepeats(this.#record.arrivals, this.#record.callers, this.#options.bounds);
  }

  /** @returns the results for requests that crash upstreams */
  getCrashes(): CrashReport[] {
    return measureCrashes(this.#record);
  }

  /** @returns the largest figures for upstreams that leave or ask for a back-off */
  getClosures(): ClosureReport {
    return measureClosures(this.#record);
  }

  /** Number of requests that were sent to learn which configuration decides. */
  get probeCount(): number {
    return this.#record.probes.length;
  }

  /** @returns the load of upstreams compared with their advertised limits */
  getLimits(): LimitReport[] {
    return measureLimits(this.#record);
  }

  /**
   * Runs the soak.
   *
   * @returns the promises that were not kept
   */
  async run(): Promise<Violation[]> {
    const caller = new SoakCaller(this.#record.callers);
    const probes = new SoakProbes(this.#record.configurations, this.#record.probes);
    const timers: NodeJS.Timeout[] = [];
    try {
      await this.#start();
      const intervalMs = MS_PER_SECOND / this.#options.requestsPerSecond;
      timers.push(setInterval(() => this.#sendRequests(caller), intervalMs));
      if (this.#options.hasCrashingRequests) {
        timers.push(setInterval(() => this.#sendCrashingRequests(caller), CRASHING_INTERVAL_MS));
      }
      if (this.#options.profile === SOAK_PROFILE.configurations) {
        timers.push(setInterval(() => this.#sendProbes(probes), PROBE_INTERVAL_MS));
      }
      await sleep(1_000);
      const {
        faultPeriodMs, recoveryMs, bounds, profile,
      } = this.#options;
      const startMs = performance.now();
      const plan = this.#options.plan
        ?? createSoakPlan(new SeededRandomSource(this.#options.seed), faultPeriodMs, profile);
      await Promise.all(plan.map(async (planned) => {
        await sleep(Math.max(0, startMs + planned.atMs - performance.now()));
        await this.#faultInjector.inject(planned);
      }));
      this.#record.faultsEndedAtMs = performance.now();
      await sleep(recoveryMs);
      timers.forEach((timer) => clearInterval(timer));
      await this.#waitUntilRequestsEnd(performance.now() + END_TIMEOUT_MS);
      return findViolations(this.#record, performance.now(), bounds);
    } finally {
      timers.forEach((timer) => clearInterval(timer));
      caller.close();
      probes.close();
      await this.#close();
    }
  }

  async #waitUntilRequestsEnd(untilMs: number): Promise<void> {
    const isDone = this.#record.callers.every(({ endedAtMs }) => endedAtMs !== null);
    if (!isDone && performance.now() < untilMs) {
      await sleep(END_CHECK_INTERVAL_MS);
      await this.#waitUntilRequestsEnd(untilMs);
    }
  }

  async #start(): Promise<void> {
    mkdirSync(this.#options.folder, { recursive: true });
    await this.#store.listen();
    this.#faultInjector.start();
    this.#faultInjector.putManifest();
    await Promise.all(Object.values(SOAK_POOLS).flatMap((pool) => (
      Array.from({ length: UPSTREAMS_PER_POOL }, (_, index) => this.#addUpstream(pool, index)))));
    for (let index = 0; index < this.#options.hostCount; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- hosts are added in the order of their indexes
      await this.#addHost(index);
    }
    await Promise.all(this.#hosts.map((host) => host.start()));
  }

  async #addUpstream(
    pool: typeof SOAK_POOLS[keyof typeof SOAK_POOLS],
    index: number,
  ): Promise<void> {
    const upstream = new SoakUpstream(pool, {
      onRun: (run) => this.#record.runs.push(run),
      onArrival: (arrival) => this.#record.arrivals.push(arrival),
      onNotice: (notice) => this.#record.notices.push(notice),
      onLimitArrival: (arrival) => this.#record.limitArrivals.push(arrival),
      onLimitNotice: (notice) => this.#record.limitNotices.push(notice),
      onLimitSpan: (span) => this.#record.limitSpans.push(span),
      onCrash: (crash) => {
        this.#record.crashes.push(crash);
        this.#faultInjector.restartAfterCrash(crash.upstreamId);
      },
    }, this.#clock);
    upstream.marksEnds = this.#options.profile !== SOAK_PROFILE.endings;
    await upstream.listen();
    const proxy = new SoakProxy(upstream.port);
    await proxy.listen();
    const placed = { upstream, proxy, failureDomain: getDomain(index) };
    this.#upstreams.push(placed);
    this.#faultInjector.register(placed, 'ready');
  }

  async #addHost(index: number): Promise<void> {
    const { folder, network, bounds } = this.#options;
    const storeProxy = new SoakProxy(Number(this.#store.address.split(':')[1]));
    await storeProxy.listen();
    this.#storeProxies.push(storeProxy);
    const storeAddress = this.#options.profile === SOAK_PROFILE.configurations
      ? await this.#addHostPaths(storeProxy.address)
      : storeProxy.address;
    this.#hosts.push(new SoakHost({
      index,
      folder,
      ip: `127.${network}.0.${index + 1}`,
      failureDomain: getDomain(index),
      storeAddress,
      bounds,
      onSpan: (span) => this.#record.hostSpans.push(span),
    }));
  }

  /** @returns the address of the store for the next host */
  async #addHostPaths(storeAddress: string): Promise<string> {
    const paths = new SoakHostPaths(storeAddress);
    await paths.listen(this.#upstreams.map(({ proxy }) => proxy.address));
    this.#hostPaths.push(paths);
    return paths.storeAddress;
  }

  #sendProbes(probes: SoakProbes): void {
    this.#hosts.forEach((host, index) => probes.send({ index, address: host.callerAddress }));
  }

  #sendRequests(caller: SoakCaller): void {
    this.#hosts.forEach((own, ownIndex) => {
      const index = this.#options.isOneSided === true ? 0 : ownIndex;
      const host = this.#hosts[index] ?? own;
      const kindIndex = Math.floor(this.#random.getFraction() * KINDS.length);
      const kind = KINDS[kindIndex] ?? REQUEST_KIND.once;
      const isRetrying = this.#random.getFraction() < RETRYING_CALLER_FRACTION;
      caller.send({ index, address: host.callerAddress }, { kind, body: PLAIN_BODY }, isRetrying ? {
        retriesLeft: this.#options.callerRetries,
        chooseHost: () => this.#chooseHost(),
      } : null);
    });
  }

  /** Sends one crashing request of each kind; successive calls use the hosts in turn. */
  #sendCrashingRequests(caller: SoakCaller): void {
    const index = this.#crashingCount % this.#hosts.length;
    const host = this.#hosts[index];
    this.#crashingCount += 1;
    if (host !== undefined) {
      const target = { index, address: host.callerAddress };
      KINDS.forEach((kind) => caller.send(target, { kind, body: CRASHING_BODY }));
    }
  }

  #chooseHost(): SoakTarget {
    const index = Math.floor(this.#retryRandom.getFraction() * this.#hosts.length);
    const host = this.#hosts[index];
    if (host === undefined) {
      throw new RangeError('cannot choose a host: the soak has none; set hostCount to 1 or more');
    }
    return { index, address: host.callerAddress };
  }

  async #close(): Promise<void> {
    this.#faultInjector.stop();
    await Promise.all(this.#hosts.map((host) => host.stop()));
    this.#upstreams.forEach(({ upstream, proxy }) => {
      proxy.close();
      upstream.close();
    });
    this.#hostPaths.forEach((paths) => paths.close());
    this.#storeProxies.forEach((proxy) => proxy.close());
    await this.#store.close();
  }
}
