import type { FastifyInstance } from 'fastify';
import type { Logger } from 'pino';
import { createHttpServer } from '../callers/createHttpServer.ts';
import { registerCallerRoutes } from '../callers/registerCallerRoutes.ts';
import type { RunningHost, ServeHostOptions } from '../cli/CliContext.ts';
import type { ConfigurationManager } from '../configuration/ConfigurationManager.ts';
import type { ConfigurationRecord } from '../configuration/records/ConfigurationRecord.ts';
import type { Core } from '../core/Core.ts';
import type { CostLedger } from '../cost/CostLedger.ts';
import type { CoreOutput } from '../core/CoreOutput.ts';
import type { RequestAnswer } from '../answers/RequestAnswer.ts';
import { assertExists } from '../lib/assertExists.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { RequestId, UpstreamId } from '../lib/ids.ts';
import { SystemRandomSource } from '../lib/SystemRandomSource.ts';
import { HttpKeyValueClient } from '../platform/HttpKeyValueClient.ts';
import { registerOperatorRoutes } from '../operators/registerOperatorRoutes.ts';
import { registerStatusGauges } from '../operators/registerStatusGauges.ts';
import type { HostStatus } from '../operators/HostStatus.ts';
import { createLogger } from '../telemetry/createLogger.ts';
import { registerFleetMetrics } from '../telemetry/registerFleetMetrics.ts';
import { HostMetrics } from '../telemetry/HostMetrics.ts';
import { Tracing } from '../telemetry/Tracing.ts';
import { SystemClock } from '../time/SystemClock.ts';
import { UpstreamSender } from '../upstreams/UpstreamSender.ts';
import { AnswerListeners } from './AnswerListeners.ts';
import { CallerAdapter } from './CallerAdapter.ts';
import { CoreLoop } from './CoreLoop.ts';
import { createHostCore } from './createHostCore.ts';
import { createIdentity } from './createIdentity.ts';
import { createHostStatus, type UpstreamLoad } from './createHostStatus.ts';
import { HostTracer } from './HostTracer.ts';
import { LoadPoller } from './LoadPoller.ts';
import { OperatorAdapter } from './OperatorAdapter.ts';
import { PeerLink } from './PeerLink.ts';

/** An entry host: the core with the adapters for HTTP, peers, upstreams and the platform. */
export class EntryHost implements RunningHost {
  readonly stopped: Promise<void>;

  readonly #logger: Logger;

  readonly #link: PeerLink;

  readonly #loop: CoreLoop<Core>;

  readonly #listeners = new AnswerListeners();

  readonly #metrics = new HostMetrics();

  readonly #tracing: Tracing;

  readonly #tracer: HostTracer;

  readonly #sender: UpstreamSender;

  readonly #keyValue: HttpKeyValueClient;

  readonly #loadPoller: LoadPoller;

  readonly #callerAdapter: CallerAdapter;

  readonly #costs: CostLedger;

  readonly #configurationManager: ConfigurationManager;

  readonly #operatorAdapter: OperatorAdapter;

  readonly #server: FastifyInstance;

  #httpUrl = '';

  #resolveStopped: () => void = () => undefined;

  /**
   * @param options - settings and keys
   * @param logger - logger with the identity of the host
   * @param link - link to the peers, already listening
   */
  private constructor(
    { settings, operatorKey }: ServeHostOptions,
    logger: Logger,
    link: PeerLink,
  ) {
    const clock = new SystemClock();
    const random = new SystemRandomSource();
    this.stopped = new Promise((resolve) => {
      this.#resolveStopped = resolve;
    });
    this.#logger = logger;
    this.#link = link;
    this.#tracing = new Tracing(settings.hostId, settings.traceCollectorUrl ?? null);
    this.#tracer = new HostTracer(this.#tracing);
    this.#keyValue = new HttpKeyValueClient({ url: settings.platformUrl });
    this.#loop = new CoreLoop({
      clock,
      random,
      self: link.self,
      createCore: (context) => createHostCore(context, clock),
      perform: (output) => this.#perform(output),
    });
    this.#costs = assertExists(this.#loop.core.ledger, 'createHostCore creates a cost ledger');
    this.#sender = new UpstreamSender({
      onInput: (input) => {
        this.#tracer.endAttempt(input);
        this.#loop.post(input);
      },
    });
    this.#loadPoller = new LoadPoller((input) => this.#loop.post(input));
    this.#callerAdapter = new CallerAdapter({
      hostId: settings.hostId,
      random,
      listeners: this.#listeners,
      tracer: this.#tracer,
      post: (input) => this.#loop.post(input),
      getRequest: (requestId) => this.#loop.core.getRequest(requestId),
      createTicket: (accountId) => this.#loop.core.createTicket(accountId),
      isReady: () => this.#loop.core.isReady(),
    });
    this.#server = createHttpServer();
    registerCallerRoutes(this.#server, this.#callerAdapter);
    this.#configurationManager = this.#loop.core.configurationManager;
    this.#configurationManager.follower
      .onChange((configuration) => this.#applyConfiguration(configuration));
    this.#operatorAdapter = new OperatorAdapter({
      random,
      costs: this.#costs,
      wake: () => this.#loop.wake(),
      post: (input) => this.#loop.post(input),
      getRequest: (requestId) => this.#loop.core.getRequest(requestId),
      getStatus: () => this.#getStatus(),
    });
    this.#registerFleetMetrics();
    registerStatusGauges(this.#metrics.registry, () => this.#getStatus());
    registerOperatorRoutes(this.#server, {
      port: this.#operatorAdapter,
      operatorKey,
      getMetrics: () => this.#metrics.registry.metrics(),
    });
  }

  /**
   * Starts an entry host.
   *
   * @param options - settings and keys
   * @returns the host, listening
   */
  static async create(options: ServeHostOptions): Promise<EntryHost> {
    const { settings, peerKey } = options;
    const self = createIdentity(settings);
    const { hostId, incarnationId } = self;
    const logger = createLogger(settings.logLevel ?? 'info', { hostId, incarnationId });
    const link = await PeerLink.create({
      listen: settings.peers, self, peerKey, platformUrl: settings.platformUrl, logger,
    });
    const host = new EntryHost(options, logger, link);
    const { http } = settings;
    host.#httpUrl = await host.#server.listen({ host: http.host, port: http.port });
    link.start((input) => host.#loop.post(input));
    host.#loop.wake();
    host.#logger.info({ httpUrl: host.#httpUrl }, 'entry host started');
    return host;
  }

  /** Base address of the HTTP server. */
  get httpUrl(): string {
    return this.#httpUrl;
  }

  /** Number of entry hosts that this one knows, including itself. */
  get memberCount(): number {
    return this.#loop.core.fleet?.getMembers().length ?? 1;
  }

  /** `IP:port` of the peer listener. */
  get peerAddress(): string {
    return this.#loop.self.peerAddress;
  }

  /** @inheritdoc */
  stop(): void {
    this.#logger.info('stop requested');
    this.#link.announceLeaving();
    this.#loop.post({ kind: 'stopRequested' });
  }

  #registerFleetMetrics(): void {
    const { core } = this.#loop;
    registerFleetMetrics(this.#metrics.registry, () => ({
      configurationVersion: core.getConfiguration().version,
      aliveHostCount: core.fleet?.membership.getAliveHostIds().length ?? 1,
      movedDutyCount: core.fleet?.duties.movedCount ?? 0,
      transport: this.#link.counters,
    }));
  }

  #applyConfiguration(configuration: ConfigurationRecord): void {
    this.#callerAdapter.setConfiguration(configuration);
    this.#loadPoller.setUpstreams(configuration.upstreams);
    this.#logger.info({ version: configuration.version }, 'configuration applied');
  }

  #getUpstreamLoad(upstreamId: UpstreamId): UpstreamLoad {
    const upstream = this.#loop.core.getUpstream(upstreamId);
    return upstream === null ? { state: 'unknown', limit: 0, inFlightCount: 0 } : {
      state: upstream.health.state.kind,
      limit: Math.floor(upstream.limit.value),
      inFlightCount: upstream.runningCount,
    };
  }

  #getStatus(): HostStatus {
    return createHostStatus({
      self: this.#loop.self,
      follower: this.#configurationManager.follower,
      members: this.#configurationManager.getMembers(),
      metrics: this.#metrics,
      costs: this.#costs,
      isStopping: this.#loop.core.isLeaving(),
      getUpstreamLoad: (upstreamId) => this.#getUpstreamLoad(upstreamId),
    });
  }

  #perform(output: CoreOutput): void {
    switch (output.kind) {
      case 'sendAttempt':
        this.#sender.send(this.#tracer.startAttempt(output));
        return;
      case 'cancelAttempt':
        this.#sender.cancel(output.attemptId);
        return;
      case 'answerChunk':
        this.#listeners.deliverChunk(output.requestId, output.offset, output.text);
        return;
      case 'answerRequest':
        this.#tracer.endRequest(output.requestId, output.answer);
        this.#recordAnswer(output.requestId, output.answer);
        this.#listeners.deliverAnswer(output.requestId, output.answer);
        return;
      case 'callKeyValue':
        this.#keyValue.call(output.callClass, output.call).then((answer) => {
          this.#loop.post({ kind: 'keyValueAnswered', operationId: output.operationId, answer });
        });
        return;
      case 'answerOperator':
        this.#operatorAdapter.deliverAnswer(output.callId, output.answer);
        return;
      case 'sendPeerMessage':
        this.#link.send(output);
        return;
      case 'stopped':
        this.#close();
        return;
      default:
        throw exhaustiveSwitchError(output);
    }
  }

  #recordAnswer(requestId: RequestId, answer: RequestAnswer): void {
    const request = this.#loop.core.getRequest(requestId);
    if (request !== undefined) {
      const durationMs = this.#loop.getNowMs() - request.arrivedAtMs;
      this.#metrics.recordAnswer(request.pipeline.id, durationMs, answer);
    }
  }

  async #close(): Promise<void> {
    await this.#server.close();
    await this.#link.close();
    this.#loop.close();
    await this.#loadPoller.close();
    await this.#sender.close();
    await this.#keyValue.close();
    await this.#tracing.close();
    this.#logger.info('entry host stopped');
    this.#resolveStopped();
  }
}
