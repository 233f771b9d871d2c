import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { HostEntry } from '../directory/HostEntry.ts';
import type { HostId } from '../lib/ids.ts';
import type { CoordinatorMoment, LeaseOffer } from '../quotas/QuotaLease.ts';
import type { QuotaBorrower } from '../quotas/QuotaBorrower.ts';
import type { Lease, QuotaLender } from '../quotas/QuotaLender.ts';
import { QUOTA_WINDOW_MS, type SendQuotas } from '../quotas/SendQuotas.ts';
import { isConnectionRefused } from '../upstreams/isConnectError.ts';
import { readBoundedText } from '../upstreams/readBoundedText.ts';
import type { UpstreamConnections } from '../upstreams/UpstreamConnections.ts';
import { CoordinatorStatusError } from './CoordinatorStatusError.ts';
import { PLACEMENT_PATHS } from './PLACEMENT_PATHS.ts';
import type { PlacementClient } from './PlacementClient.ts';

/** Dependencies of a {@link QuotaRenewal}. */
export interface QuotaRenewalOptions {
  readonly hostId: HostId;
  readonly directory: Directory;
  readonly quotas: SendQuotas;
  readonly lender: QuotaLender;
  /** What this host's own coordinator borrows. */
  readonly borrower: QuotaBorrower;
  /** Knows the coordinators of the placement groups. */
  readonly client: Pick<PlacementClient, 'listCoordinators'>;
  readonly connections: UpstreamConnections;
  readonly logger: Logger;
}

const RENEW_INTERVAL_MS = 1_000;
const OFFER_TIMEOUT_MS = 900;

/** Leases this host's quotas to the coordinators of the placement groups, and renews the leases. */
export class QuotaRenewal {
  readonly #options: QuotaRenewalOptions;

  #timer: NodeJS.Timeout | null = null;

  #nextTimer: NodeJS.Timeout | null = null;

  /**
   * @param options - see {@link QuotaRenewalOptions}
   */
  constructor(options: QuotaRenewalOptions) {
    this.#options = options;
    options.lender.onEnded(() => this.#renewAfterWindow());
  }

  /** Starts renewing. */
  start(): void {
    this.#renewAll();
    this.#timer = setInterval(() => this.#renewAll(), RENEW_INTERVAL_MS);
    this.#timer.unref();
  }

  /** Stops renewing; the leases end by themselves. */
  close(): void {
    clearInterval(this.#timer ?? undefined);
    clearTimeout(this.#nextTimer ?? undefined);
  }

  /** Leases quotas anew as soon as the sends of an ended lease no longer count. */
  #renewAfterWindow(): void {
    this.#nextTimer ??= setTimeout(() => {
      this.#nextTimer = null;
      this.#renewAll();
    }, QUOTA_WINDOW_MS + 1).unref();
  }

  #renewAll(): void {
    const {
      hostId, directory, quotas, lender, client,
    } = this.#options;
    const poolIds = [...directory.configuration?.pools.keys() ?? []];
    if (!poolIds.some((poolId) => quotas.isBounded(poolId))) {
      return;
    }
    const current = client.listCoordinators();
    lender.findOutdated(current.map(({ group: { domains }, coordinator }) => ({
      coordinatorId: coordinator?.id ?? hostId, domains,
    }))).forEach((lease) => this.#takeBack(lease));
    current.forEach(({ group: { domains }, coordinator }) => {
      if (coordinator === null) {
        this.#renewOwn(domains);
      } else {
        this.#renew(coordinator, domains);
      }
    });
  }

  /** Takes quotas back from a coordinator that no longer places at their upstreams. */
  #takeBack(lease: Lease): void {
    const {
      hostId, directory, lender, borrower, logger,
    } = this.#options;
    const offer: LeaseOffer = {
      hostId, domains: lease.domains, since: null, isReturned: true,
    };
    const coordinator = directory.hosts.get(lease.coordinatorId);
    if (lease.coordinatorId === hostId) {
      lender.recordMoment(hostId, borrower.accept(offer));
      lender.recordReturned(lease);
    } else if (coordinator !== undefined) {
      this.#send(coordinator, offer)
        .then((moment) => {
          lender.recordMoment(coordinator.id, moment);
          lender.recordReturned(lease);
        })
        .catch((error: unknown) => logger.info(
          { event: 'quotaNotReturned', hostId: coordinator.id, error: String(error) },
          'a coordinator did not give this host\'s send quotas back; the lease ends by itself',
        ));
    }
  }

  /** Leases the quotas to this host's own coordinator, which needs no message. */
  #renewOwn(domains: readonly string[]): void {
    const { hostId, lender, borrower } = this.#options;
    if (!borrower.isOpen) {
      return;
    }
    lender.recordMoment(hostId, borrower.moment);
    borrower.accept(lender.createOffer(hostId, domains));
  }

  #renew(coordinator: HostEntry, domains: readonly string[]): void {
    const { lender, logger } = this.#options;
    const offer = lender.createOffer(coordinator.id, domains);
    this.#send(coordinator, offer).then((moment) => {
      const isFirst = lender.recordMoment(coordinator.id, moment);
      if (isFirst) {
        this.#renew(coordinator, domains);
      }
    }).catch((error: unknown) => {
      if (isConnectionRefused(error)) {
        lender.recordEnded(coordinator.id);
      } else {
        lender.recordUnavailable(coordinator.id);
      }
      logger.info(
        { event: 'quotaNotLeased', hostId: coordinator.id, error: String(error) },
        'a placement coordinator did not take the lease of this host\'s send quotas',
      );
    });
  }

  async #send({ id, peerAddress }: HostEntry, offer: LeaseOffer): Promise<CoordinatorMoment> {
    const connections = this.#options.connections.get(`http://${peerAddress}`);
    const { statusCode, body } = await connections.request({
      method: 'POST',
      path: PLACEMENT_PATHS.leases,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(offer),
      signal: AbortSignal.timeout(OFFER_TIMEOUT_MS),
    });
    const text = await readBoundedText(body);
    if (statusCode !== 200) {
      throw new CoordinatorStatusError(id, statusCode);
    }
    return JSON.parse(text) as CoordinatorMoment;
  }
}
