import type { ServingAccount, ServingRoute } from '../directory/ServingConfiguration.ts';
import type { CallerExchange } from '../ingress/CallerExchange.ts';
import { createErrorAnswer } from '../ingress/createErrorAnswer.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { PoolId } from '../lib/ids.ts';
import { getRendezvousScore } from '../membership/getRendezvousScore.ts';
import { RequestSubject } from '../quarantine/RequestSubject.ts';
import { compareVersions } from './compareVersions.ts';
import { findAdmission } from './findAdmission.ts';
import type { ForwardingOrigin } from './ForwardingOrigin.ts';
import { ForwardingRelay } from './ForwardingRelay.ts';
import { NOT_TAKEN_STATUS } from './PeerExchange.ts';
import { GenerationRelay } from './GenerationRelay.ts';
import { getForwardingDeadlineMs } from './getForwardingDeadlineMs.ts';
import { REFUSALS } from './REFUSALS.ts';
import type { RelayContext, RelayParameters } from './RelayContext.ts';
import { BufferedRelay } from './BufferedRelay.ts';

/** Time that a caller waits when its request states no deadline. */
const DEFAULT_REMAINING_MS = 60_000;
/** Retry-After of a host that has no configuration yet or is stopping. */
const OTHER_HOST_RETRY_AFTER_MS = 100;

/** Longest time in which a request waits for a newer configuration that its host has. */
const MAX_CATCH_UP_MS = 500;
const STATUS = { unavailable: 503 } as const;

/** Distributes requests over the targets by weight; the same request id gets the same target. */
function choosePool(route: ServingRoute, requestId: string): PoolId {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let point = getRendezvousScore('target', requestId) * total;
  const chosen = route.targets.find((target) => {
    point -= target.weight;
    return point < 0;
  }) ?? route.targets[0];
  if (chosen === undefined) {
    throw new RangeError(`Route ${route.name} has no targets.`);
  }
  return chosen.poolId;
}

function getRelayParameters(
  exchange: CallerExchange,
  configurationVersion: number,
  route: ServingRoute,
  account: ServingAccount | null,
): RelayParameters {
  const {
    profile, arrivedAtMs, method, host, path, body,
  } = exchange.request;
  const remainingMs = Math.min(profile.remainingMs ?? DEFAULT_REMAINING_MS, route.timeoutMs);
  return {
    configurationVersion,
    route,
    poolId: choosePool(route, profile.id),
    account: account?.name ?? null,
    subject: new RequestSubject({
      account: account?.name ?? null,
      method,
      host,
      path,
      body,
      sharedPartIds: profile.generation?.parts.slice(0, -1).map(({ id }) => id) ?? [],
    }),
    trial: null,
    priority: account?.priority ?? route.priority,
    deadlineAtMs: arrivedAtMs + remainingMs,
  };
}

/** Authorizes each caller's request, decides how it is relayed, and relays it. */
export class RelayManager {
  readonly #context: RelayContext;

  #isRefusing = false;

  /**
   * @param context - dependencies shared by all relays
   */
  constructor(context: RelayContext) {
    this.#context = context;
  }

  /** Refuses all further requests, because the host stops before they would end. */
  startRefusing(): void {
    this.#isRefusing = true;
  }

  /** @param endsAtMs - monotonic time of {@link RelayManager.endOpenRelays} */
  startStopping(endsAtMs: number): void {
    this.#context.stopDeadline.set(endsAtMs);
  }

  /** Gives all open requests their final answers, because the process ends. */
  endOpenRelays(): void {
    [...this.#context.openRelays].forEach((relay) => relay.endForStop());
  }

  /**
   * Serves a request by a configuration that is no older than the one of the host that passed it
   * on, or declines it.
   *
   * @param exchange - a request of another host, which reaches no upstream
   */
  relayForwarded(exchange: CallerExchange): void {
    const { protocol, forwarding } = this.#context;
    const { configurationCatchUp, configurationCheck } = forwarding;
    const origin = protocol.decodeForwardingOrigin(exchange.request.rawHeaders);
    if (origin !== null && configurationCatchUp.hasReached(origin.configurationVersion)) {
      this.#decideForwarded(exchange, origin);
      return;
    }
    const caughtUp = origin === null
      // A host of an earlier build does not tell its version, which may be newer.
      ? configurationCheck.confirm()
      : configurationCatchUp
        .reach(origin.configurationVersion, origin.peerAddress, MAX_CATCH_UP_MS);
    caughtUp
      .then(() => this.#decideForwarded(exchange, origin), (error: unknown) => {
        this.#context.logger.error(
          { event: 'catchUpFailed', requestId: exchange.request.profile.id, error: String(error) },
          'reading a newer configuration failed unexpectedly; declining the request',
        );
        this.#refuse(exchange, NOT_TAKEN_STATUS, 'configuration-behind', null);
      });
  }

  #decideForwarded(exchange: CallerExchange, origin: ForwardingOrigin | null): void {
    this.#announceVersion(exchange, origin);
    const { reachability, forwarding: { configurationCatchUp } } = this.#context;
    if (reachability.isCutOff || this.#isRefusing) {
      // A request is passed on only once; the other host asks the next one.
      this.#refuse(exchange, NOT_TAKEN_STATUS, 'no-upstream-reachable', null);
      return;
    }
    if (origin !== null && !configurationCatchUp.hasReached(origin.configurationVersion)) {
      this.#refuse(exchange, NOT_TAKEN_STATUS, 'configuration-behind', null);
      return;
    }
    this.relay(exchange);
  }

  /** Tells the other host, and the log, which version decides on its request. */
  #announceVersion(exchange: CallerExchange, origin: ForwardingOrigin | null): void {
    const { protocol, directory, logger } = this.#context;
    const version = directory.configuration?.version ?? null;
    if (origin !== null && version !== null) {
      exchange.addAnswerHeaders(protocol.encodeDecidedVersion(version));
    }
    const originVersion = origin?.configurationVersion ?? null;
    const comparison = compareVersions(version, originVersion);
    this.#context.metrics.recordForwarded(comparison);
    logger.info({
      event: 'forwardedRequest',
      requestId: exchange.request.profile.id,
      originId: origin?.hostId ?? null,
      originVersion,
      version,
      comparison,
    }, 'decides on a request that another host passed on');
  }

  /** @param exchange - a complete request and the means to answer it */
  relay(exchange: CallerExchange): void {
    const { configuration } = this.#context.directory;
    if (configuration === null || this.#isRefusing) {
      const reason = configuration === null ? 'not-ready' : 'leaving';
      this.#refuse(exchange, STATUS.unavailable, reason, OTHER_HOST_RETRY_AFTER_MS);
      return;
    }
    const { request } = exchange;
    if (this.#context.reachability.isCutOff) {
      const deadlineAtMs = getForwardingDeadlineMs(configuration, request, DEFAULT_REMAINING_MS);
      new ForwardingRelay(this.#context, exchange, deadlineAtMs).start();
      return;
    }
    const admission = findAdmission(configuration, request);
    if (admission.kind !== 'allowed') {
      const { status, reason } = REFUSALS[admission.kind];
      this.#refuse(exchange, status, reason, null);
      return;
    }
    const { route, account } = admission;
    const parameters = getRelayParameters(exchange, configuration.version, route, account);
    const remainingMs = parameters.deadlineAtMs - this.#context.clock.getMonotonicMs();
    if (this.#context.stopDeadline.isTooLate(route, remainingMs)) {
      this.#refuse(exchange, STATUS.unavailable, 'leaving', OTHER_HOST_RETRY_AFTER_MS);
      return;
    }
    if (this.#context.quarantine.isFree(parameters.subject)) {
      this.#start(exchange, parameters);
    } else {
      this.#startWhenAdmitted(exchange, parameters).catch((error: unknown) => {
        this.#context.logger.error(
          { event: 'admissionFailed', requestId: request.profile.id, error: String(error) },
          'deciding whether the quarantine admits a request failed; refusing the request',
        );
        this.#refuse(exchange, STATUS.unavailable, 'quarantined', OTHER_HOST_RETRY_AFTER_MS);
      });
    }
  }

  #start(exchange: CallerExchange, parameters: RelayParameters): void {
    const relay = parameters.route.isStream
      ? new GenerationRelay(this.#context, parameters, exchange)
      : new BufferedRelay(this.#context, parameters, exchange);
    relay.start();
  }

  /** Lets a request that upstreams crashed on wait for the result of another one like it. */
  async #startWhenAdmitted(exchange: CallerExchange, parameters: RelayParameters): Promise<void> {
    const { quarantine, clock } = this.#context;
    const remainingMs = parameters.deadlineAtMs - clock.getMonotonicMs();
    const admission = await quarantine.admit(
      parameters.subject,
      exchange.request.profile.id,
      Math.min(remainingMs, parameters.route.targetLatencyMs),
    );
    switch (admission.kind) {
      case 'free':
        this.#start(exchange, parameters);
        return;
      case 'trial':
        this.#start(exchange, {
          ...parameters,
          trial: admission.trial,
          route: { ...parameters.route, maxAttempts: 1 },
        });
        return;
      case 'refused':
        this.#refuse(exchange, STATUS.unavailable, 'quarantined', admission.retryAfterMs);
        return;
      default:
        throw exhaustiveSwitchError(admission);
    }
  }

  #refuse(
    exchange: CallerExchange,
    status: number,
    reason: string,
    retryAfterMs: number | null,
  ): void {
    this.#context.metrics.recordRefusal(reason);
    this.#context.logger.info({
      event: 'refused',
      requestId: exchange.request.profile.id,
      status,
      reason,
      version: this.#context.directory.configuration?.version ?? null,
    }, 'refused a request');
    exchange.answer(createErrorAnswer(status, reason, retryAfterMs));
  }
}
