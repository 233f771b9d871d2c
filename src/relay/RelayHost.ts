import { randomUUID } from 'node:crypto';
import type { Logger } from 'pino';
import { Directory } from '../directory/Directory.ts';
import { DirectoryChangeLogger } from '../directory/DirectoryChangeLogger.ts';
import { DirectoryFollower } from '../directory/DirectoryFollower.ts';
import { DirectoryReaderSelector } from '../directory/DirectoryReaderSelector.ts';
import { HostCountRecorder } from '../directory/HostCountRecorder.ts';
import { HostRegistration } from '../directory/HostRegistration.ts';
import { HttpDirectoryPeers } from '../directory/HttpDirectoryPeers.ts';
import type { CallerLimits } from '../directory/ServingConfiguration.ts';
import { registerConfigurationRoutes } from '../directory/registerConfigurationRoutes.ts';
import { registerDirectoryRoutes } from '../directory/registerDirectoryRoutes.ts';
import type { LimitSource } from '../directory/DirectoryChange.ts';
import type { AdvertisedLimit } from '../directory/AdvertisedLimitTable.ts';
import { UpstreamNoticeHandler } from '../directory/UpstreamNoticeHandler.ts';
import { IngressServer } from '../ingress/IngressServer.ts';
import { ReadinessServer } from '../ingress/ReadinessServer.ts';
import { PlacementClient } from '../placement/PlacementClient.ts';
import { PeerServer } from '../placement/PeerServer.ts';
import { HAND_OVER_REASON } from '../placement/HAND_OVER_REASON.ts';
import { QuotaRenewal } from '../placement/QuotaRenewal.ts';
import { registerLeaseRoutes } from '../placement/registerLeaseRoutes.ts';
import { PlacementService } from '../placement/PlacementService.ts';
import { ReachabilityMonitor } from '../reachability/ReachabilityMonitor.ts';
import { OwnQuota } from '../quotas/OwnQuota.ts';
import { QuotaBorrower } from '../quotas/QuotaBorrower.ts';
import { QuotaLender } from '../quotas/QuotaLender.ts';
import { SendQuotas } from '../quotas/SendQuotas.ts';
import { RequestQuarantine } from '../quarantine/RequestQuarantine.ts';
import { NoticeHandlingCheck } from '../quarantine/NoticeHandlingCheck.ts';
import { HttpPermitTransport } from '../rates/HttpPermitTransport.ts';
import { PermitClient } from '../rates/PermitClient.ts';
import { LimitMonitor } from '../rates/LimitMonitor.ts';
import { RateLimitedUpstreamCheck } from '../rates/RateLimitedUpstreamCheck.ts';
import { LimitCoordinators } from '../rates/LimitCoordinators.ts';
import { SendRateLimiter } from '../rates/SendRateLimiter.ts';
import { registerPermitRoutes } from '../rates/registerPermitRoutes.ts';
import { BufferMemory } from '../memory/BufferMemory.ts';
import { getHostBudget } from '../memory/getHostBudget.ts';
import { ScarcityLog } from '../memory/ScarcityLog.ts';
import { SystemRandomSource } from '../lib/SystemRandomSource.ts';
import { EngineLifetimes } from '../streams/EngineLifetimes.ts';
import { StreamVersions } from '../streams/StreamVersions.ts';
import { createRollouts, type RolloutParts } from '../rollouts/createRollouts.ts';
import { registerRolloutRoutes } from '../rollouts/registerRolloutRoutes.ts';
import type { Clock } from '../time/Clock.ts';
import { AnswerMemory } from './AnswerMemory.ts';
import { createForwarding, type Forwarding } from './createForwarding.ts';
import { createEngineFigureReader } from './createEngineFigureReader.ts';
import type { OpenRelay } from './RelayContext.ts';
import { HostShares } from './HostShares.ts';
import type { RelayHostAdapters, RelayHostSettings } from './RelayHostOptions.ts';
import { RelayMetrics } from './RelayMetrics.ts';
import { RelayManager } from './RelayManager.ts';
import { SilentEngineCheck } from './SilentEngineCheck.ts';
import { StopDeadline } from './StopDeadline.ts';
import { UnmarkedAnswerCheck } from './UnmarkedAnswerCheck.ts';
import { UpstreamStateTable } from './UpstreamStateTable.ts';

/** Limits until a configuration is known; requests are refused until then. */
const INITIAL_CALLER_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/**
 * Sizes of requests that another host passes on. That host has checked them by its configuration,
 * which may be newer; here they are bounded by what Node reads and by the memory for bodies.
 */
const FORWARDED_SIZES = { maxHeaderBytes: 65_536, maxBodyBytes: 67_108_864 } as const;
/** Interval of the stall check, and the gap between checks that counts as a stall. */
const STALL_CHECK_INTERVAL_MS = 300;
const STALL_THRESHOLD_MS = 900;
/** Time after the stop signal to accept requests until the load balancer notices. */
const ACCEPT_WHILE_STOPPING_MS = 3_000;
/** Time reserved at the end of the grace period for aborting open requests. */
const ABORT_TIME_MS = 300;
const STOP_CHECK_MS = 50;
const ANSWER_CHECK_MS = 10;
/** A host may have lost an entry confirmed longer ago; a lease lasts half as long again. */
const MAX_REGISTRATION_AGE_MS = 4_000;

/** An entry host: serves callers, follows the directory and places generations for all hosts. */
export class RelayHost {
  readonly #settings: RelayHostSettings;

  readonly #adapters: RelayHostAdapters;

  readonly #clock: Clock;

  readonly #logger: Logger;

  readonly #directory: Directory;

  readonly #follower: DirectoryFollower;

  readonly #registration: HostRegistration;

  readonly #hostCountKeeper: HostCountRecorder;

  readonly #placementService: PlacementService;

  readonly #placementClient: PlacementClient;

  readonly #quotaRenewal: QuotaRenewal;

  readonly #peerServer: PeerServer;

  readonly #quarantine: RequestQuarantine;

  readonly #streamVersions: StreamVersions;

  readonly #rolloutParts: RolloutParts;

  readonly #forwarding: Forwarding;

  readonly #reachability: ReachabilityMonitor;

  readonly #relayManager: RelayManager;

  readonly #limitCoordinators: LimitCoordinators;

  readonly #limitProbe: LimitMonitor;

  readonly #metrics = new RelayMetrics();

  readonly #ingress: IngressServer;

  /** Receives the requests that other hosts pass on. */
  readonly #forwardedIngress: IngressServer;

  readonly #readiness: ReadinessServer;

  #stoppingSinceMs: number | null = null;

  #stopped: Promise<void> | null = null;

  /**
   * @param settings - identity and addresses of the host
   * @param adapters - access to the store and the upstreams
   * @param clock - the time
   * @param logger - logs decisions and changes of the directory
   */
  constructor(
    settings: RelayHostSettings,
    adapters: RelayHostAdapters,
    clock: Clock,
    logger: Logger,
  ) {
    this.#settings = settings;
    this.#adapters = adapters;
    this.#clock = clock;
    this.#logger = logger;
    const directory = new Directory(clock);
    const budget = getHostBudget(settings.memoryBytes, settings.maxFds);
    const scarcityLog = new ScarcityLog(clock, logger);
    const memory = new BufferMemory(budget.bufferBytes, (part) => {
      this.#metrics.recordScarcity(part);
      scarcityLog.record(part);
    });
    this.#metrics.setMemory(memory);
    this.#directory = directory;
    this.#follower = new DirectoryFollower({
      clock,
      store: adapters.store,
      directory,
      logger,
      random: new SystemRandomSource(),
      readerSelector: new DirectoryReaderSelector({
        clock,
        hostId: settings.hostId,
        failureDomain: settings.failureDomain,
        directory,
        logger,
      }),
      peers: new HttpDirectoryPeers(adapters.connections),
    }, { waitMs: settings.storeWaitMs, relayWaitMs: settings.relayWaitMs });
    this.#registration = new HostRegistration(clock, adapters.store, () => ({
      id: settings.hostId,
      failureDomain: settings.failureDomain,
      peerAddress: settings.peerAddress,
      forwardingAddress: settings.forwardingAddress,
      comparesConfigurations: true,
      processorCores: settings.processorCores,
      linkMbps: settings.linkMbps,
      ...(directory.configuration === null
        ? {}
        : { configurationVersion: directory.configuration.version }),
    }), logger);
    const shares = new HostShares({
      clock,
      hostId: settings.hostId,
      directory,
      bounds: settings.sharedBounds,
      logger,
      metrics: this.#metrics,
    });
    this.#hostCountKeeper = new HostCountRecorder({
      hostId: settings.hostId, directory, store: adapters.store, logger,
    });
    const notices = new UpstreamNoticeHandler(clock, directory, logger);
    this.#limitCoordinators = new LimitCoordinators({
      clock,
      hostId: settings.hostId,
      directory,
      logger,
      isRegistered: () => (
        (this.#registration.confirmedAgoMs ?? Infinity) <= MAX_REGISTRATION_AGE_MS),
    });
    const rates = new SendRateLimiter({
      clock, hostId: settings.hostId, directory, coordinators: this.#limitCoordinators,
    });
    this.#metrics.setRates(rates);
    const check = new NoticeHandlingCheck(clock, adapters.upstreamCheck, notices);
    this.#limitProbe = new LimitMonitor({
      clock, directory, coordinators: this.#limitCoordinators, check,
    });
    this.#reachability = new ReachabilityMonitor({
      clock,
      directory,
      random: new SystemRandomSource(),
      probe: (address) => adapters.connections.probe(`http://${address}`),
      logger,
      onChange: (isCutOff) => this.#applyReachability(isCutOff),
    });
    this.#forwarding = createForwarding({
      clock, settings, directory, store: adapters.store, connections: adapters.connections, logger,
    });
    const openRelays = new Set<OpenRelay>();
    this.#rolloutParts = createRollouts({
      clock,
      hostId: settings.hostId,
      processId: randomUUID(),
      directory,
      store: adapters.store,
      connections: adapters.connections,
      exposureShare: settings.exposureShare,
      getRunningIds: (poolId) => [
        ...[...openRelays].filter((relay) => relay.poolId === poolId)
          .flatMap((relay) => relay.getRunningIds()),
        ...this.#placementService.coordinator.getBusyMakerIds(poolId),
      ],
      logger,
    });
    const { leader, rollouts, stageRollouts } = this.#rolloutParts;
    const quotas = new SendQuotas(directory, settings.sharedBounds);
    const lender = new QuotaLender(clock, settings.hostId);
    const borrower = new QuotaBorrower(clock, directory, quotas);
    const ownQuota = new OwnQuota(clock, quotas, settings.hostId, lender);
    this.#placementService = new PlacementService({
      clock,
      directory,
      caller: adapters.stageCaller,
      notices,
      retryBudget: shares,
      rates,
      rollouts: stageRollouts,
      quotas: borrower,
      maxHeldPieces: budget.maxHeldPieces,
      maxCachedParts: budget.maxCachedParts,
      reachability: this.#reachability,
      readEngineFigures: createEngineFigureReader(adapters.engineProbe),
      logger,
    });
    this.#peerServer = new PeerServer(this.#placementService.coordinator);
    this.#peerServer.addRoutes((server) => registerDirectoryRoutes(server, this.#follower));
    this.#peerServer.addRoutes((server) => registerConfigurationRoutes(server, directory));
    this.#peerServer.addRoutes((server) => registerPermitRoutes(server, rates));
    this.#peerServer.addRoutes((server) => registerRolloutRoutes(server, leader));
    this.#peerServer.addRoutes((server) => registerLeaseRoutes(server, borrower));
    this.#placementClient = new PlacementClient({
      clock,
      hostId: settings.hostId,
      directory,
      coordinator: this.#placementService.coordinator,
      rates,
      lender,
      connections: adapters.connections,
      logger,
    });
    this.#quotaRenewal = new QuotaRenewal({
      hostId: settings.hostId,
      directory,
      quotas,
      lender,
      borrower,
      client: this.#placementClient,
      connections: adapters.connections,
      logger,
    });
    this.#quarantine = new RequestQuarantine({
      clock,
      hostId: settings.hostId,
      directory,
      store: adapters.store,
      check: new RateLimitedUpstreamCheck(check, rates),
      random: new SystemRandomSource(),
      logger,
      onCrash: (poolId) => this.#metrics.recordCrash(poolId),
    });
    this.#streamVersions = new StreamVersions({
      clock,
      hostId: settings.hostId,
      processId: randomUUID(),
      directory,
      store: adapters.store,
      random: new SystemRandomSource(),
      logger,
    });
    this.#relayManager = new RelayManager({
      clock,
      directory,
      protocol: adapters.protocol,
      connections: adapters.connections,
      placementClient: this.#placementClient,
      notices,
      upstreamTable: new UpstreamStateTable(clock, settings.failureDomain),
      shares,
      ownQuota,
      rates,
      permitClient: new PermitClient({
        clock,
        hostId: settings.hostId,
        rateLimiter: rates,
        coordinators: this.#limitCoordinators,
        transport: new HttpPermitTransport(adapters.connections),
        logger,
      }),
      quarantine: this.#quarantine,
      streamVersions: this.#streamVersions,
      engineLifetimes: new EngineLifetimes({
        clock,
        directory,
        store: adapters.store,
        probe: adapters.engineProbe,
        getConnectCount: (address) => adapters.connections.getConnectCount(`http://${address}`),
        mayAsk: (entry) => directory.isUsable(entry.id) && rates.tryTakePermit(entry),
        onUnlisted: (poolId) => this.#streamVersions.recordUnlisted(poolId),
        logger,
      }),
      forwarding: this.#forwarding,
      answerMemory: new AnswerMemory(memory),
      stopDeadline: new StopDeadline(clock),
      unmarkedAnswerCheck: new UnmarkedAnswerCheck({
        directory,
        connections: adapters.connections,
        healthClient: adapters.upstreamCheck,
        rates,
      }),
      silentEngineCheck: new SilentEngineCheck({
        clock, directory, rates, probe: adapters.engineProbe,
      }),
      engineProbe: adapters.engineProbe,
      reachability: this.#reachability,
      openRelays,
      rollouts,
      logger,
      metrics: this.#metrics,
      failureDomain: settings.failureDomain,
    });
    this.#ingress = new IngressServer({
      address: settings.callerAddress,
      clock,
      memory,
      maxConnections: budget.maxCallerConnections,
      getLimits: () => directory.configuration?.callerLimits ?? INITIAL_CALLER_LIMITS,
      decodeRequest: (rawHeaders) => adapters.protocol.decodeRequest(rawHeaders),
      onRequest: (exchange) => this.#relayManager.relay(exchange),
    });
    this.#forwardedIngress = new IngressServer({
      address: settings.forwardingAddress,
      clock,
      memory,
      maxConnections: budget.maxForwardedConnections,
      getLimits: () => ({
        ...directory.configuration?.callerLimits ?? INITIAL_CALLER_LIMITS, ...FORWARDED_SIZES,
      }),
      decodeRequest: (rawHeaders) => adapters.protocol.decodeRequest(rawHeaders),
      onRequest: (exchange) => this.#relayManager.relayForwarded(exchange),
    });
    this.#readiness = new ReadinessServer(settings.readinessPath, () => this.#isReady());
    this.#subscribeToDirectory();
  }

  /** @returns a promise that resolves when the host listens on all addresses */
  async start(): Promise<void> {
    this.#follower.run().catch((error: unknown) => {
      this.#logger.fatal(
        { event: 'followerEnded', error: String(error) },
        'the directory follower failed; the directory is no longer updated',
      );
    });
    this.#monitorStalls();
    this.#streamVersions.start();
    this.#quotaRenewal.start();
    this.#rolloutParts.reporter.start();
    this.#reachability.start();
    await Promise.all([
      this.#peerServer.listen(this.#settings.peerAddress),
      this.#ingress.listen(),
      this.#forwardedIngress.listen(),
      this.#readiness.listen(this.#settings.readinessAddress),
      this.#metrics.listen(this.#settings.metricsAddress),
    ]);
    await this.#registration.start();
    this.#logger.info({ event: 'started', settings: this.#settings }, 'host started');
  }

  /**
   * Stops gracefully: accepts no new connections, answers open requests, then closes.
   *
   * @returns a promise that resolves when the host has closed, also for a call while it stops
   */
  stop(): Promise<void> {
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  async #stop(): Promise<void> {
    this.#stoppingSinceMs = this.#clock.getMonotonicMs();
    this.#logger.info(
      { event: 'stopping', openRequestCount: this.#openRequestCount },
      'host is stopping',
    );
    this.#relayManager.startStopping(
      this.#stoppingSinceMs + this.#settings.graceMs - ABORT_TIME_MS,
    );
    this.#ingress.startDraining();
    this.#forwardedIngress.startDraining();
    this.#placementService.coordinator.setHandingOver(HAND_OVER_REASON.leaving);
    this.#registration.stop().catch((error: unknown) => {
      this.#logger.info(
        { event: 'leaseNotEnded', error: String(error) },
        'failed to end the lease of this host; its entry expires with the lease',
      );
    });
    await this.#waitUntilDrained(this.#stoppingSinceMs);
    this.#relayManager.endOpenRelays();
    await this.#waitForAnswers();
    await this.#close();
  }

  /** Number of requests, of callers and of other hosts, whose answer is not complete yet. */
  get #openRequestCount(): number {
    return this.#ingress.openRequestCount + this.#forwardedIngress.openRequestCount;
  }

  /** Lets other hosts place while this one reaches no upstream. */
  #applyReachability(isCutOff: boolean): void {
    if (this.#stoppingSinceMs !== null) {
      return;
    }
    this.#metrics.recordReachability(isCutOff);
    this.#placementService.coordinator.setHandingOver(isCutOff ? HAND_OVER_REASON.cutOff : null);
    if (!isCutOff) {
      this.#placementClient.restoreOwnCoordinator();
    }
  }

  #isReady(): boolean {
    return this.#directory.configuration !== null && this.#stoppingSinceMs === null;
  }

  async #waitUntilDrained(sinceMs: number): Promise<void> {
    const { graceMs } = this.#settings;
    for (;;) {
      const elapsedMs = this.#clock.getMonotonicMs() - sinceMs;
      if (elapsedMs >= Math.min(ACCEPT_WHILE_STOPPING_MS, graceMs / 2)) {
        this.#relayManager.startRefusing();
        this.#ingress.closeIdle();
        this.#forwardedIngress.closeIdle();
        if (
          this.#openRequestCount === 0
          && this.#placementService.coordinator.waitingCount === 0
        ) {
          return;
        }
      }
      if (elapsedMs >= graceMs - ABORT_TIME_MS) {
        return;
      }
      // eslint-disable-next-line no-await-in-loop -- polls until the requests have ended
      await new Promise((resolve) => {
        setTimeout(resolve, STOP_CHECK_MS);
      });
    }
  }

  /** Lets the answers that were just given reach their callers. */
  async #waitForAnswers(): Promise<void> {
    const untilMs = this.#clock.getMonotonicMs() + ABORT_TIME_MS / 2;
    while (this.#openRequestCount > 0 && this.#clock.getMonotonicMs() < untilMs) {
      // eslint-disable-next-line no-await-in-loop -- polls until the answers are written
      await new Promise((resolve) => {
        setTimeout(resolve, ANSWER_CHECK_MS);
      });
    }
  }

  async #close(): Promise<void> {
    this.#logger.info(
      { event: 'stopped', openRequestCount: this.#openRequestCount },
      'host stopped',
    );
    this.#ingress.close();
    this.#forwardedIngress.close();
    this.#readiness.close();
    this.#metrics.close();
    this.#follower.stop();
    this.#hostCountKeeper.close();
    this.#quarantine.close();
    this.#streamVersions.close();
    this.#rolloutParts.reporter.close();
    this.#reachability.close();
    this.#forwarding.liveness.close();
    this.#limitProbe.close();
    this.#quotaRenewal.close();
    this.#placementClient.close();
    this.#placementService.close();
    await this.#peerServer.close();
  }

  #subscribeToDirectory(): void {
    const changeLogger = new DirectoryChangeLogger(this.#logger);
    this.#directory.onChange((change) => {
      if (change.kind === 'configuration') {
        this.#ingress.updateLimits();
        this.#forwardedIngress.updateLimits();
        this.#metrics.recordConfiguration(change.configuration.version);
        this.#logger.info({
          event: 'configurationInForce', version: change.configuration.version,
        }, 'applied a configuration');
      } else if (change.kind === 'upstreamLeaving' || change.kind === 'upstreamBackOff') {
        this.#logger.info(
          { event: change.kind, ...change },
          'an upstream announced that it closes; this host sends no new requests to it',
        );
      } else if (change.kind === 'storeEraChanged') {
        this.#registration.renewNow();
        this.#limitCoordinators.restartTakeovers();
        this.#metrics.recordStoreEraChange();
      } else if (change.kind === 'upstreamLimit') {
        this.#logLimit(change.advertisedLimit, change.source);
      } else {
        changeLogger.add(change);
      }
    });
  }

  #logLimit({
    lifetime, requestsPerSecond, requestSentAtMs: askedAtMs, receivedAtMs: heardAtMs,
  }: AdvertisedLimit, source: LimitSource): void {
    const nowMs = this.#clock.getMonotonicMs();
    this.#logger.info({
      event: 'upstreamLimit',
      upstreamId: lifetime.id,
      startedAtMs: lifetime.startedAtMs,
      requestsPerSecond,
      source,
      ageMs: Math.round(nowMs - heardAtMs),
      askedAgoMs: Math.round(nowMs - askedAtMs),
    }, requestsPerSecond === null
      ? 'an upstream no longer advertises a limit'
      : 'an upstream advertises a limit on the requests from all hosts together');
  }

  /** Detects stalls of the process, which may have missed any change, and reads all state again. */
  #monitorStalls(): void {
    let lastMs = this.#clock.getWallMs();
    setInterval(() => {
      const nowMs = this.#clock.getWallMs();
      if (nowMs - lastMs > STALL_THRESHOLD_MS) {
        this.#logger.warn(
          { event: 'paused', gapMs: Math.round(nowMs - lastMs) },
          'the process stalled; reading the directory again',
        );
        this.#follower.requestFullRead();
        this.#limitCoordinators.restartTakeovers();
      }
      lastMs = nowMs;
      this.#forwarding.configurationCheck.check();
    }, STALL_CHECK_INTERVAL_MS).unref();
  }
}
