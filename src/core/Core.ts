import { Admission } from '../admission/Admission.ts';
import { StageLatencies } from '../admission/StageLatencies.ts';
import type { ConfigurationManager } from '../configuration/ConfigurationManager.ts';
import { ConfigurationIndex } from '../configuration/ConfigurationIndex.ts';
import {
  createEmptyConfiguration, type ConfigurationRecord,
} from '../configuration/records/ConfigurationRecord.ts';
import type { ClaimPort } from '../claims/ClaimPort.ts';
import type { CostLedger } from '../cost/CostLedger.ts';
import type { CostPort } from '../cost/CostPort.ts';
import type { FleetManager } from '../fleet/FleetManager.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type {
  AccountId, IdempotencyKey, RequestId, UpstreamId,
} from '../lib/ids.ts';
import type { Quarantine } from '../quarantine/Quarantine.ts';
import { RemoteAnswerFetcher } from '../resumption/RemoteAnswerFetcher.ts';
import type { PoolRouter } from '../routing/PoolRouter.ts';
import type { RoutedUpstream } from '../routing/RoutedUpstream.ts';
import type { CoreContext } from './CoreContext.ts';
import { CoreInbox } from './CoreInbox.ts';
import type { CoreInput } from './CoreInput.ts';
import { DEFAULT_CORE_OPTIONS, type CoreOptions } from './CoreOptions.ts';
import type { CoreWorld } from './CoreWorld.ts';
import { DueQueue } from './DueQueue.ts';
import { admitRequests } from './systems/admitRequests.ts';
import { applyClaimEvents } from './systems/applyClaimEvents.ts';
import { retryClaims } from './systems/retryClaims.ts';
import { expireQueued, getNextQueueExpiryMs } from './systems/expireQueued.ts';
import { dispatchStages } from './systems/dispatchStages.ts';
import { expireAttempts } from './systems/expireAttempts.ts';
import { expireRequests } from './systems/expireRequests.ts';
import { finishAttempts } from './systems/finishAttempts.ts';
import { forwardChunks } from './systems/forwardChunks.ts';
import { stopHost } from './systems/stopHost.ts';
import { PoolTable } from './tables/PoolTable.ts';
import type { RequestRecord } from './tables/RequestRecord.ts';

/** The managers that the core is composed of. */
export interface CoreManagers {
  readonly quarantine: Quarantine;
  readonly router: PoolRouter;
  readonly claims: ClaimPort;
  readonly costs: CostPort;
  /** Stores costs durably; absent where costs are only counted. */
  readonly ledger?: CostLedger;
  readonly configurationManager: ConfigurationManager;
  /** Absent for a core without peers. */
  readonly fleet?: FleetManager;
}

/**
 * The systems in the order in which they process the tables in each step. Ends are processed
 * before starts, so that capacity which an attempt releases is used in the same step.
 */
const SYSTEMS: readonly ((world: CoreWorld) => void)[] = [
  forwardChunks,
  finishAttempts,
  expireAttempts,
  expireRequests,
  admitRequests,
  retryClaims,
  applyClaimEvents,
  dispatchStages,
  expireQueued,
  stopHost,
];

/**
 * Decision logic of an entry host, without any I/O: a step consumes inputs and emits outputs
 * through the context. The daemon and tests with a manual clock run the same core.
 */
export class Core {
  readonly #world: CoreWorld;

  /**
   * @param context - time, randomness and outputs
   * @param managers - the managers that the core is composed of
   * @param options - see {@link DEFAULT_CORE_OPTIONS}
   */
  constructor(
    context: CoreContext,
    managers: CoreManagers,
    options: Partial<CoreOptions> = {},
  ) {
    const latencies = new StageLatencies(context);
    const pools = new PoolTable(context, managers.router);
    this.#world = {
      ...managers,
      fleet: managers.fleet ?? null,
      remoteAnswers: new RemoteAnswerFetcher(context, {
        getMembers: () => managers.fleet?.getMembers() ?? [],
        getRequest: (requestId) => this.getRequest(requestId),
        recordResumed: (requestId) => this.#recordResumed(requestId),
      }),
      context,
      latencies,
      pools,
      admission: new Admission(context, latencies, pools),
      options: { ...DEFAULT_CORE_OPTIONS, ...options },
      inbox: new CoreInbox(),
      requests: new Map(),
      attempts: new Map(),
      lateAttempts: new DueQueue(),
      claimRetries: new DueQueue(),
      resumeDeadlines: new DueQueue(),
      deadlines: new DueQueue(),
      answeredIds: [],
      answerExpiries: new DueQueue(),
      configuration: new ConfigurationIndex(createEmptyConfiguration()),
      inFlightCount: 0,
      leavingSinceMs: null,
      isStopping: false,
      isStopped: false,
    };
    managers.configurationManager.follower
      .onChange((configuration) => this.setConfiguration(configuration));
  }

  /**
   * Runs one step: dispatches the inputs, ticks the managers, then runs each system once.
   *
   * @param inputs - events since the last step, in order
   */
  step(inputs: readonly CoreInput[]): void {
    inputs.forEach((input) => this.#sortInput(input));
    this.#tickFleet();
    this.#world.configurationManager.tick();
    this.#world.claims.tick();
    this.#world.remoteAnswers.tick();
    this.#world.ledger?.tick();
    this.#world.router.tick();
    SYSTEMS.forEach((system) => system(this.#world));
  }

  /**
   * @returns time at which the next step is due if no input arrives; Infinity for never
   */
  getNextWakeMs(): number {
    const world = this.#world;
    const nowMs = world.context.getNowMs();
    const leaveAtMs = world.leavingSinceMs === null
      ? Infinity
      : Math.max(nowMs, world.leavingSinceMs + world.options.leaveGraceMs);
    return Math.min(
      world.deadlines.getNextWakeMs(),
      world.answerExpiries.getNextWakeMs(),
      world.lateAttempts.getNextWakeMs(),
      world.claimRetries.getNextWakeMs(),
      world.resumeDeadlines.getNextWakeMs(),
      getNextQueueExpiryMs(world),
      world.claims.getNextWakeMs(),
      world.remoteAnswers.getNextWakeMs(),
      world.ledger?.getNextWakeMs() ?? Infinity,
      world.configurationManager.getNextWakeMs(),
      world.fleet?.getNextWakeMs() ?? Infinity,
      world.router.getNextWakeMs(),
      world.isStopping && !world.isStopped ? leaveAtMs : Infinity,
    );
  }

  /**
   * Applies a configuration.
   *
   * @param configuration - the configuration to apply
   */
  setConfiguration(configuration: ConfigurationRecord): void {
    const world = this.#world;
    const { hostId, failureDomainId } = world.context.self;
    world.configuration = new ConfigurationIndex(configuration);
    world.pools.setAccounts(configuration.accounts);
    world.fleet?.setConfiguration(configuration);
    world.router.setConfiguration(configuration);
    if (world.configuration.isHostDrained(hostId, failureDomainId)) {
      world.leavingSinceMs ??= world.context.getNowMs();
    } else if (!world.isStopping) {
      world.leavingSinceMs = null;
    }
  }

  /**
   * @returns whether the load balancer should send requests to this host
   */
  isReady(): boolean {
    const { configuration, leavingSinceMs } = this.#world;
    return configuration.record.version > 0 && leavingSinceMs === null;
  }

  /**
   * @param upstreamId - an upstream
   * @returns its state as seen by this host; null when it is not configured
   */
  getUpstream(upstreamId: UpstreamId): RoutedUpstream | null {
    return this.#world.router.getUpstream(upstreamId);
  }

  /**
   * @returns whether the host is stopping or drained
   */
  isLeaving(): boolean {
    return this.#world.leavingSinceMs !== null;
  }

  /** Membership, duties and gossip of this host; null without peers. */
  get fleet(): FleetManager | null {
    return this.#world.fleet;
  }

  /** The durable cost ledger; absent where costs are only counted. */
  get ledger(): CostLedger | undefined {
    return this.#world.ledger;
  }

  /** Follows the configuration and executes operators' calls. */
  get configurationManager(): ConfigurationManager {
    return this.#world.configurationManager;
  }

  /**
   * @returns the configuration in force
   */
  getConfiguration(): ConfigurationRecord {
    return this.#world.configuration.record;
  }

  /**
   * @param accountId - the only account that may use the ticket
   * @returns an idempotency key that needs no platform as long as this process runs
   */
  createTicket(accountId: AccountId): IdempotencyKey {
    return this.#world.claims.createTicket(accountId);
  }

  /**
   * @param requestId - a request
   * @returns its record; undefined when this host doesn't know it
   */
  getRequest(requestId: RequestId): Readonly<RequestRecord> | undefined {
    return this.#world.requests.get(requestId);
  }

  #recordResumed(requestId: RequestId): void {
    const request = this.#world.requests.get(requestId);
    if (request !== undefined) {
      request.isAbandoned = false;
    }
  }

  #tickFleet(): void {
    const { fleet, context } = this.#world;
    fleet?.tick();
    if (fleet?.isReplaced === true) {
      this.#world.isStopping = true;
      this.#world.leavingSinceMs ??= context.getNowMs();
    }
  }

  #sortInput(input: CoreInput): void {
    const {
      inbox, router, claims, configurationManager, fleet, ledger,
    } = this.#world;
    switch (input.kind) {
      case 'requestSubmitted':
        inbox.submitted.push(input);
        return;
      case 'answerQueried':
        this.#world.remoteAnswers.query(input);
        return;
      case 'requestAbandoned':
        this.#world.remoteAnswers.cancelQuery(input.requestId);
        inbox.callerChanges.push(input);
        return;
      case 'requestResumed':
        inbox.callerChanges.push(input);
        return;
      case 'attemptChunk':
        inbox.chunks.push(input);
        return;
      case 'attemptSucceeded':
      case 'attemptFailed':
        inbox.attemptsEnded.push(input);
        return;
      case 'loadReported':
        router.recordLoad(input);
        this.#world.quarantine.recordIncarnation(input.upstreamId, input.upstreamIncarnation);
        return;
      case 'loadUnavailable':
        router.recordLoadUnavailable(input.upstreamId);
        return;
      case 'keyValueAnswered':
        claims.handleKeyValueAnswer(input);
        fleet?.handleKeyValueAnswer(input);
        ledger?.handleKeyValueAnswer(input);
        configurationManager.handleKeyValueAnswer(input);
        return;
      case 'peerMessageReceived':
        fleet?.handlePeerMessage(input.fromHostId, input.fromIncarnationId, input.message);
        claims.handlePeerMessage(input.fromHostId, input.fromIncarnationId, input.message);
        router.handlePeerMessage(input.fromHostId, input.message);
        this.#world.quarantine.handlePeerMessage(input.message);
        this.#world.remoteAnswers.handlePeerMessage(input.fromHostId, input.message);
        ledger?.handlePeerMessage(input.fromHostId, input.message);
        configurationManager.handlePeerMessage(input);
        return;
      case 'hostListRead':
        fleet?.handleHostList(input.hosts);
        return;
      case 'peerUnreachable':
        fleet?.handleUnreachable(input.hostId);
        claims.handlePeerUnreachable(input.hostId);
        return;
      case 'operatorCalled':
        configurationManager.handleOperatorCall(input);
        return;
      case 'stopRequested':
        this.#world.isStopping = true;
        fleet?.announceLeaving();
        this.#world.leavingSinceMs ??= this.#world.context.getNowMs();
        return;
      default:
        throw exhaustiveSwitchError(input);
    }
  }
}
