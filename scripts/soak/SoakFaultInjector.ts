import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { STORE_KEYS } from '../../platform/WIRE.ts';
import { exhaustiveSwitchError } from '../../src/lib/exhaustiveSwitchError.ts';
import type { StoreFault, StoreStandin } from '../../standins/store/StoreStandin.ts';
import { StoreCopyFault } from './StoreCopyFault.ts';
import type { SoakHost } from './SoakHost.ts';
import type { SoakHostPaths } from './SoakHostPaths.ts';
import type { ProxyFault, SoakProxy } from './SoakProxy.ts';
import type { ConfigurationRecord, LinkSpan, StoreSpan } from './SoakRecord.ts';
import type { SoakUpstream, UpstreamFault } from './SoakUpstream.ts';
import { createSoakManifest, getMovedPool, getVersionKey } from './createSoakManifest.ts';
import type { PlannedFault, SoakFault } from './SoakFault.ts';

/** An upstream behind its proxy. */
export interface PlacedUpstream {
  readonly upstream: SoakUpstream;
  readonly proxy: SoakProxy;
  readonly failureDomain: string;
}

/** Components that faults are injected into, and callbacks that record them. */
export interface SoakFaultInjectorOptions {
  readonly store: StoreStandin;
  /** One proxy for each host. */
  readonly storeProxies: readonly SoakProxy[];
  readonly upstreams: readonly PlacedUpstream[];
  readonly hosts: readonly SoakHost[];
  /** One for each host; empty if the hosts share their paths to the upstreams. */
  readonly hostPaths: readonly SoakHostPaths[];
  readonly onConfiguration: (configuration: ConfigurationRecord) => void;
  readonly onLinkSpan: (span: LinkSpan) => void;
  readonly onStoreSpan: (span: StoreSpan) => void;
}

const SLOW_STORE_DELAY_MS = 400;
const DRAIN_MS = 1_500;
/** Time from a crash on a request to the restart of the upstream. */
const CRASH_RESTART_DELAY_MS = 1_000;
/** Interval between the restarts of two hosts that are ended in succession. */
const SUCCESSIVE_RESTART_GAP_MS = 300;

function getStoreFault(how: Extract<SoakFault, { kind: 'store' }>['how']): StoreFault {
  switch (how) {
    case 'down':
    case 'answersLost':
      return { kind: how };
    case 'slow':
      return { kind: how, delayMs: SLOW_STORE_DELAY_MS };
    case 'forget':
      return { kind: 'none' };
    default:
      throw exhaustiveSwitchError(how);
  }
}

function setFault(upstreams: readonly SoakUpstream[], fault: UpstreamFault): void {
  upstreams.forEach((upstream) => Object.assign(upstream, { fault }));
}

/** Injects the faults of a soak plan. */
export class SoakFaultInjector {
  readonly #options: SoakFaultInjectorOptions;

  readonly #storeCopyFault: StoreCopyFault;

  #version = 1;

  #isStopped = false;

  /**
   * @param options - see {@link SoakFaultInjectorOptions}
   */
  constructor(options: SoakFaultInjectorOptions) {
    this.#options = options;
    this.#storeCopyFault = new StoreCopyFault(options.store);
  }

  /** Starts to take copies of the store. */
  start(): void {
    this.#storeCopyFault.start();
  }

  /**
   * Writes an upstream's store entry as the upstream itself would.
   *
   * @param placed - the upstream
   * @param state - the state that the entry shows
   */
  register({ upstream, proxy, failureDomain }: PlacedUpstream, state: 'ready' | 'draining'): void {
    this.#storeCopyFault.put(`${STORE_KEYS.upstreamPrefix}${upstream.id}`, {
      service: upstream.kind,
      address: proxy.address,
      zone: failureDomain,
      slots: 8,
      state,
      cold_left_ms: 0,
      born: upstream.startedAtMs,
    });
  }

  /** Prevents further upstream restarts, since the run is over. */
  stop(): void {
    this.#isStopped = true;
    this.#storeCopyFault.stop();
  }

  /** Writes the next version of the manifest to the store. */
  putManifest(): void {
    const version = this.#version;
    this.#storeCopyFault.put(STORE_KEYS.configuration, createSoakManifest(version));
    this.#version += 1;
    this.#options.onConfiguration({
      version,
      key: getVersionKey(version),
      movedPool: getMovedPool(version),
      ackedAtMs: performance.now(),
    });
  }

  /**
   * Restarts a crashed upstream after a delay.
   *
   * @param upstreamId - id of the crashed upstream process
   */
  async restartAfterCrash(upstreamId: string): Promise<void> {
    const placed = this.#options.upstreams.find(({ upstream }) => upstream.id === upstreamId);
    await sleep(CRASH_RESTART_DELAY_MS);
    // A fault may have restarted it meanwhile, or the run may be over.
    if (!this.#isStopped && placed !== undefined && placed.upstream.id === upstreamId) {
      placed.upstream.restart();
      this.#storeCopyFault.remove(`${STORE_KEYS.upstreamPrefix}${upstreamId}`);
      this.register(placed, 'ready');
    }
  }

  /**
   * Injects a fault and ends it after its duration.
   *
   * @param planned - a fault that is due
   * @returns resolves when the fault is over
   */
  async inject({ fault, targetNumber, durationMs }: PlannedFault): Promise<void> {
    switch (fault.kind) {
      case 'host':
        await this.#injectHostFault(fault.how, targetNumber, durationMs);
        return;
      case 'strandedHost':
        await this.#injectStrandedHostFault(targetNumber, durationMs);
        return;
      case 'storePath':
        await this.#injectStorePathFault(fault.how, targetNumber, durationMs);
        return;
      case 'allHosts':
        await this.#injectAllHostsFault(fault.how);
        return;
      case 'upstream':
        await this.#injectUpstreamFault(fault.how, targetNumber, durationMs);
        return;
      case 'pool':
        await this.#injectPoolFault(fault.how, targetNumber, durationMs);
        return;
      case 'connection':
        await this.#injectConnectionFault(fault, targetNumber, durationMs);
        return;
      case 'store':
        await this.#injectStoreFault(fault.how, durationMs);
        return;
      case 'storeCopy':
        await this.#injectStoreCopyFault(targetNumber, durationMs);
        return;
      case 'limit':
        await this.#injectLimitFault(fault, targetNumber, durationMs);
        return;
      case 'manifest':
        this.putManifest();
        return;
      default:
        throw exhaustiveSwitchError(fault);
    }
  }

  async #injectHostFault(
    how: Extract<SoakFault, { kind: 'host' }>['how'],
    targetNumber: number,
    durationMs: number,
  ): Promise<void> {
    const { hosts } = this.#options;
    const host = hosts[targetNumber % hosts.length];
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

  async #injectStrandedHostFault(targetNumber: number, durationMs: number): Promise<void> {
    const { hostPaths } = this.#options;
    const paths = hostPaths[targetNumber % hostPaths.length];
    // A path that an earlier fault has cut is restored at the end of that fault.
    if (paths?.isCutOff === false) {
      paths.cutUpstreams();
      await sleep(durationMs);
      await paths.restoreUpstreams();
    }
  }

  async #injectStorePathFault(
    how: Extract<SoakFault, { kind: 'storePath' }>['how'],
    targetNumber: number,
    durationMs: number,
  ): Promise<void> {
    const { storeProxies } = this.#options;
    const hostIndex = targetNumber % storeProxies.length;
    const proxy = storeProxies[hostIndex];
    if (proxy?.fault === 'none') {
      const fromMs = performance.now();
      proxy.fault = how;
      await sleep(durationMs);
      proxy.fault = 'none';
      this.#options.onStoreSpan({ hostIndex, fromMs, untilMs: performance.now() });
    }
  }

  /** Ended one after the other, or killed at the same moment. */
  async #injectAllHostsFault(how: 'terminate' | 'kill'): Promise<void> {
    await Promise.all(this.#options.hosts.map(async (host, index) => {
      if (how === 'terminate') {
        await sleep(index * SUCCESSIVE_RESTART_GAP_MS);
      }
      await host.restart(how === 'terminate' ? 'SIGTERM' : 'SIGKILL');
    }));
  }

  async #injectUpstreamFault(
    how: Extract<SoakFault, { kind: 'upstream' }>['how'],
    targetNumber: number,
    durationMs: number,
  ): Promise<void> {
    const { upstreams } = this.#options;
    const placed = upstreams[targetNumber % upstreams.length];
    if (placed === undefined) {
      return;
    }
    if (how === 'hold') {
      await this.#injectLinkFault(placed, 'hold', durationMs);
      return;
    }
    if (how === 'backOff') {
      setFault([placed.upstream], how);
      await sleep(durationMs);
      setFault([placed.upstream], 'none');
      return;
    }
    if (how === 'restart') {
      placed.upstream.restartUnderId();
      // The store hears of it later.
      await sleep(durationMs);
      this.register(placed, 'ready');
      return;
    }
    const { id } = placed.upstream;
    if (how === 'drain') {
      this.register(placed, 'draining');
      await sleep(DRAIN_MS);
    }
    if (how === 'leave') {
      // The store still lists it as ready.
      setFault([placed.upstream], how);
      await sleep(durationMs);
      setFault([placed.upstream], 'none');
    }
    if (placed.upstream.id !== id) {
      // It has crashed meanwhile, and its entry is already removed.
      return;
    }
    placed.upstream.crash();
    this.#storeCopyFault.remove(`${STORE_KEYS.upstreamPrefix}${id}`);
    this.register(placed, 'ready');
  }

  async #injectLimitFault(
    { scope, requestsPerSecond }: Extract<SoakFault, { kind: 'limit' }>,
    targetNumber: number,
    durationMs: number,
  ): Promise<void> {
    const chosen = this.#chooseUpstreams(scope, targetNumber);
    const ids = chosen.map(({ id }) => id);
    chosen.forEach((upstream) => upstream.setAdvertisedLimit(requestsPerSecond));
    await sleep(durationMs);
    // An upstream that crashed meanwhile was replaced by another process.
    chosen.filter(({ id }, index) => id === ids[index])
      .forEach((upstream) => upstream.setAdvertisedLimit(null));
  }

  #chooseUpstreams(
    scope: Extract<SoakFault, { kind: 'limit' }>['scope'],
    targetNumber: number,
  ): SoakUpstream[] {
    const all = this.#options.upstreams.map(({ upstream }) => upstream);
    const picked = all[targetNumber % all.length];
    switch (scope) {
      case 'upstream':
        return picked === undefined ? [] : [picked];
      case 'pool':
        return all.filter(({ kind }) => kind === picked?.kind);
      case 'oneOfEachPool':
        return all.filter(({ kind }, index) => (
          all.findIndex((other) => other.kind === kind) === index));
      case 'all':
        return all;
      default:
        throw exhaustiveSwitchError(scope);
    }
  }

  async #injectPoolFault(
    how: Extract<SoakFault, { kind: 'pool' }>['how'],
    targetNumber: number,
    durationMs: number,
  ): Promise<void> {
    const { upstreams } = this.#options;
    const kind = upstreams[targetNumber % upstreams.length]?.upstream.kind;
    const pool = upstreams.filter(({ upstream }) => upstream.kind === kind);
    if (how === 'hold') {
      await Promise.all(pool.map((placed) => this.#injectLinkFault(placed, how, durationMs)));
      return;
    }
    const members = pool.map(({ upstream }) => upstream);
    setFault(members, how);
    await sleep(durationMs);
    setFault(members, 'none');
  }

  async #injectLinkFault(
    { upstream, proxy }: PlacedUpstream,
    fault: ProxyFault,
    durationMs: number,
  ): Promise<void> {
    const harmed = proxy;
    const fromMs = performance.now();
    harmed.fault = fault;
    await sleep(durationMs);
    harmed.fault = 'none';
    this.#options.onLinkSpan({ upstreamId: upstream.id, fromMs, untilMs: performance.now() });
  }

  async #injectConnectionFault(
    { how, target }: Extract<SoakFault, { kind: 'connection' }>,
    targetNumber: number,
    durationMs: number,
  ): Promise<void> {
    const { storeProxies, upstreams } = this.#options;
    const placed = upstreams[targetNumber % upstreams.length];
    const proxy = target === 'store'
      ? storeProxies[targetNumber % storeProxies.length]
      : placed?.proxy;
    if (how === 'reset' || proxy === undefined) {
      proxy?.reset();
      return;
    }
    if (target === 'upstream' && placed !== undefined) {
      await this.#injectLinkFault(placed, how, durationMs);
      return;
    }
    const fromMs = performance.now();
    proxy.fault = how;
    await sleep(durationMs);
    proxy.fault = 'none';
    const hostIndex = targetNumber % storeProxies.length;
    this.#options.onStoreSpan({ hostIndex, fromMs, untilMs: performance.now() });
  }

  async #injectStoreFault(
    how: Extract<SoakFault, { kind: 'store' }>['how'],
    durationMs: number,
  ): Promise<void> {
    const { store } = this.#options;
    if (how === 'forget') {
      store.state.dropHistory();
    }
    const fromMs = performance.now();
    store.fault = getStoreFault(how);
    await sleep(durationMs);
    store.fault = { kind: 'none' };
    this.#options.onStoreSpan({ hostIndex: null, fromMs, untilMs: performance.now() });
  }

  async #injectStoreCopyFault(targetNumber: number, durationMs: number): Promise<void> {
    const fromMs = performance.now();
    await this.#storeCopyFault.inject(targetNumber, durationMs);
    this.#options.onStoreSpan({ hostIndex: null, fromMs, untilMs: performance.now() });
  }
}
