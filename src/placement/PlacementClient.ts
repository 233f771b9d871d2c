import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { HostEntry, KnownHost } from '../directory/HostEntry.ts';
import type { HostId, PoolId, UpstreamId } from '../lib/ids.ts';
import type { LimitReport } from '../rates/PermitMessage.ts';
import type { QuotaLender } from '../quotas/QuotaLender.ts';
import type { SendRateLimiter } from '../rates/SendRateLimiter.ts';
import type { Clock } from '../time/Clock.ts';
import type { UpstreamConnections } from '../upstreams/UpstreamConnections.ts';
import { isConnectionRefused } from '../upstreams/isConnectError.ts';
import { readBoundedText } from '../upstreams/readBoundedText.ts';
import { getGroupUpstreams } from './getGroupUpstreams.ts';
import type { OpenGeneration } from './OpenGeneration.ts';
import { OpenGenerations } from './OpenGenerations.ts';
import type { PlacementCoordinator } from './PlacementCoordinator.ts';
import { PLACEMENT_PATHS } from './PLACEMENT_PATHS.ts';
import { findPlacementGroups, GROUP_CHANGES, type PlacementGroup } from './PlacementGroup.ts';
import {
  PlacementSearch, type CoordinatorAccess, type PlacementQuery, type RunningPlacement,
} from './PlacementSearch.ts';
import type {
  PlacementDemand, PlacementReport, PlacementRequest, PlacementResult,
} from './PlacementRequest.ts';
import { CoordinatorStatusError } from './CoordinatorStatusError.ts';
import { CoordinatorChooser } from './CoordinatorChooser.ts';
import { CoordinatorMonitor } from './CoordinatorMonitor.ts';
import { orderGroups } from './orderGroups.ts';

/** Dependencies of a {@link PlacementClient}. */
export interface PlacementClientOptions {
  readonly clock: Clock;
  readonly hostId: HostId;
  readonly directory: Directory;
  /** This host's own coordinator, used when it is the chosen one. */
  readonly coordinator: PlacementCoordinator;
  /** Knows the limits that upstreams advertise. */
  readonly rates: Pick<SendRateLimiter, 'createReports' | 'applyReports'>;
  /** Learns which coordinators use no leased quota any more. */
  readonly lender: Pick<QuotaLender, 'recordEnded'>;
  readonly connections: UpstreamConnections;
  readonly logger: Logger;
}

/** Reports are collected for this long and sent together. */
const REPORT_DELAY_MS = 10;
const REPORT_TIMEOUT_MS = 1_000;

/** Number of groups that are tried in turn for a request while they refuse it. */
const MAX_GROUPS = 2;
/** Stands in where there is no group, so that a coordinator refuses the request. */
const NO_GROUP: PlacementGroup = { domains: [], weight: 1 };

/** Returns the key that requests of one session share: the last part of their prompts. */
function getSessionKey({ parts, requestId }: PlacementDemand): string {
  return parts.at(-1)?.id ?? requestId;
}

/** Sends requests to the coordinators of placement groups, or to this host's own as a fallback. */
export class PlacementClient implements CoordinatorAccess {
  readonly #options: PlacementClientOptions;

  readonly #monitor: CoordinatorMonitor;

  readonly #chooser: CoordinatorChooser;

  readonly #open: OpenGenerations;

  /** Whether this host is leaving, so that its own coordinator accepts no requests. */
  #isOwnCoordinatorLeaving = false;

  /** Null when they have to be found again because the directory has changed. */
  #groups: readonly PlacementGroup[] | null = null;

  readonly #reports = new Map<string, PlacementReport[]>();

  /**
   * @param options - see {@link PlacementClientOptions}
   */
  constructor(options: PlacementClientOptions) {
    this.#options = options;
    this.#monitor = new CoordinatorMonitor(options);
    this.#open = new OpenGenerations(options.clock);
    this.#chooser = new CoordinatorChooser({
      ...options,
      isAvoided: (host) => (
        host.id === options.hostId ? this.#isOwnCoordinatorLeaving : this.#monitor.isAvoided(host)),
    });
    options.directory.onChange(({ kind }) => {
      if (GROUP_CHANGES.has(kind)) {
        this.#groups = null;
      }
    });
  }

  /**
   * @param demand - the demand to place
   * @returns the placement
   */
  place(demand: PlacementDemand): RunningPlacement {
    const groups = this.#getGroups(demand);
    const { clock } = this.#options;
    return new PlacementSearch(clock, this, demand, groups.length === 0 ? [NO_GROUP] : groups);
  }

  /** @inheritdoc */
  get hostId(): HostId {
    return this.#options.hostId;
  }

  /** @inheritdoc */
  createLimitReports(poolId: PoolId): LimitReport[] {
    return this.#options.rates.createReports(poolId);
  }

  /** @inheritdoc */
  applyLimitReports(
    coordinator: HostEntry | null,
    reports: readonly LimitReport[] | undefined,
  ): void {
    // A host of an earlier version reports no limits.
    if (coordinator !== null && reports !== undefined) {
      this.#options.rates.applyReports(reports, coordinator.id);
    }
  }

  /** @inheritdoc */
  choose(group: PlacementGroup): KnownHost | null {
    return this.#chooser.choose(group);
  }

  /** @returns the placement groups, at least one, each with its coordinator; null for this host */
  listCoordinators(): { readonly group: PlacementGroup; readonly coordinator: KnownHost | null }[] {
    this.#groups ??= findPlacementGroups(this.#options.directory);
    const groups = this.#groups.length === 0 ? [NO_GROUP] : this.#groups;
    return groups.map((group) => ({ group, coordinator: this.choose(group) }));
  }

  /** @inheritdoc */
  listPlacedByOthers(
    coordinator: KnownHost | null,
    poolId: PoolId,
    { domains }: PlacementGroup,
  ): OpenGeneration[] {
    const { directory } = this.#options;
    return this.#open.listPlacedByOthers(coordinator, () => new Set(
      getGroupUpstreams(directory, { poolId, domains }).map(({ entry }) => entry.id),
    ));
  }

  /** @inheritdoc */
  recordPlaced(
    coordinator: KnownHost | null,
    request: PlacementRequest,
    upstreamId: UpstreamId,
  ): void {
    this.#open.recordPlaced(coordinator, request, upstreamId);
  }

  /** @inheritdoc */
  isOwnCoordinatorLeaving(): boolean {
    return this.#isOwnCoordinatorLeaving;
  }

  /** @inheritdoc */
  query(coordinator: HostEntry | null, request: PlacementRequest): PlacementQuery {
    return coordinator === null
      ? this.#queryOwnCoordinator(request)
      : this.#queryPeer(coordinator, request);
  }

  /** @inheritdoc */
  recordFailure(coordinator: HostEntry, detail: string): void {
    this.#monitor.recordFailure(coordinator, detail);
  }

  /** @inheritdoc */
  recordAbandoned(requestId: string, lostIds: readonly HostId[]): void {
    this.#options.logger.warn(
      { event: 'placementAbandoned', requestId, lostIds },
      'placement coordinators were lost while they had a request; no other one gets it',
    );
  }

  /** @inheritdoc */
  recordLeaving(coordinator: HostEntry | null): void {
    if (coordinator === null) {
      this.#isOwnCoordinatorLeaving = true;
    } else {
      this.#options.lender.recordEnded(coordinator.id);
      this.#monitor.recordFailure(coordinator, 'the host is leaving');
    }
  }

  /** @inheritdoc */
  report(coordinator: HostEntry | null, report: PlacementReport): void {
    this.#open.recordReport(report);
    if (coordinator === null) {
      this.#options.coordinator.handleReport(report);
      return;
    }
    const { peerAddress } = coordinator;
    const waiting = this.#reports.get(peerAddress);
    if (waiting !== undefined) {
      waiting.push(report);
      return;
    }
    this.#reports.set(peerAddress, [report]);
    setTimeout(() => this.#sendReports(peerAddress), REPORT_DELAY_MS);
  }

  /** Lets this host's own coordinator be chosen again, since the host reaches upstreams again. */
  restoreOwnCoordinator(): void {
    this.#isOwnCoordinatorLeaving = false;
  }

  /** Stops the background probes. */
  close(): void {
    this.#monitor.close();
  }

  #getGroups(demand: PlacementDemand): PlacementGroup[] {
    this.#groups ??= findPlacementGroups(this.#options.directory);
    return orderGroups(this.#groups, getSessionKey(demand)).slice(0, MAX_GROUPS);
  }

  #queryOwnCoordinator(request: PlacementRequest): PlacementQuery {
    let withdraw = (): void => {};
    const result = new Promise<PlacementResult>((resolve) => {
      withdraw = this.#options.coordinator.place(request, resolve);
    });
    return { result, withdraw: () => withdraw() };
  }

  #queryPeer(coordinator: HostEntry, request: PlacementRequest): PlacementQuery {
    const controller = new AbortController();
    return {
      result: this.#post(coordinator, request, controller),
      withdraw: () => controller.abort(),
    };
  }

  async #post(
    host: HostEntry,
    request: PlacementRequest,
    controller: AbortController,
  ): Promise<PlacementResult> {
    const stopWatching = this.#monitor.watch(host, controller);
    try {
      const response = await this.#options.connections.get(`http://${host.peerAddress}`).request({
        method: 'POST',
        path: PLACEMENT_PATHS.place,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(request),
        signal: controller.signal,
      });
      if (response.statusCode !== 200) {
        await response.body.dump();
        throw new CoordinatorStatusError(host.id, response.statusCode);
      }
      return JSON.parse(await readBoundedText(response.body)) as PlacementResult;
    } catch (error) {
      if (isConnectionRefused(error)) {
        this.#options.lender.recordEnded(host.id);
      }
      throw error;
    } finally {
      stopWatching();
    }
  }

  #sendReports(peerAddress: string): void {
    const reports = this.#reports.get(peerAddress) ?? [];
    this.#reports.delete(peerAddress);
    this.#options.connections.get(`http://${peerAddress}`).request({
      method: 'POST',
      path: PLACEMENT_PATHS.reports,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(reports),
      signal: AbortSignal.timeout(REPORT_TIMEOUT_MS),
    }).then((response) => response.body.dump()).catch((error: unknown) => {
      this.#options.logger.debug(
        { event: 'notesLost', peerAddress, error: String(error) },
        'placement reports were lost; the coordinator drops the requests after their deadlines',
      );
    });
  }
}
