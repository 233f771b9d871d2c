import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { HostEntry } from '../directory/HostEntry.ts';
import type { HostId, PoolId } from '../lib/ids.ts';
import type { LimitReport } from '../rates/PermitMessage.ts';
import type { SendRateLimiter } from '../rates/SendRateLimiter.ts';
import type { Clock } from '../time/Clock.ts';
import type { UpstreamConnections } from '../upstreams/UpstreamConnections.ts';
import { readBoundedText } from '../upstreams/readBoundedText.ts';
import type { PlacementCoordinator } from './PlacementCoordinator.ts';
import { PLACEMENT_PATHS } from './PLACEMENT_PATHS.ts';
import { findPlacementGroups, type PlacementGroup } from './PlacementGroup.ts';
import {
  PlacementSearch, type CoordinatorAccess, type PlacementQuery, type RunningPlacement,
} from './PlacementSearch.ts';
import type {
  PlacementDemand, PlacementReport, PlacementRequest, PlacementResult,
} from './PlacementRequest.ts';
import { CoordinatorChooser } from './CoordinatorChooser.ts';
import { CoordinatorMonitor } from './CoordinatorMonitor.ts';
import { orderGroups } from './orderGroups.ts';

/** What a placement client is built from. */
export interface PlacementClientOptions {
  readonly clock: Clock;
  readonly hostId: HostId;
  readonly directory: Directory;
  /** This host's own desk, for when it is the one that places. */
  readonly coordinator: PlacementCoordinator;
  /** Knows the limits that upstreams name. */
  readonly rates: Pick<SendRateLimiter, 'createReports' | 'takeReports'>;
  readonly connections: UpstreamConnections;
  readonly logger: Logger;
}

/** Notes are collected for this long before they are sent. */
const REPORT_DELAY_MS = 10;
const REPORT_TIMEOUT_MS = 1_000;

/** Groups that a request asks in turn while they refuse it. */
const MAX_GROUPS = 2;
/** Where there is nothing to place on, this host says so itself. */
const NO_GROUP: PlacementGroup = { domains: [], weight: 1 };

/** What requests of one session have in common: the last part of their prompts. */
function getSessionKey({ parts, requestId }: PlacementDemand): string {
  return parts.at(-1)?.id ?? requestId;
}

/** Has requests placed by the host that places for a group, or by this one when that is away. */
export class PlacementClient implements CoordinatorAccess {
  readonly #options: PlacementClientOptions;

  readonly #monitor: CoordinatorMonitor;

  readonly #chooser: CoordinatorChooser;

  /** Whether this host leaves, so that others place for it as well. */
  #isOwnCoordinatorLeaving = false;

  /** Null when the directory has changed since they were found. */
  #groups: readonly PlacementGroup[] | null = null;

  readonly #reports = new Map<string, PlacementReport[]>();

  /**
   * @param options - see {@link PlacementClientOptions}
   */
  constructor(options: PlacementClientOptions) {
    this.#options = options;
    this.#monitor = new CoordinatorMonitor(options);
    this.#chooser = new CoordinatorChooser({
      ...options,
      isAvoided: (host) => (
        host.id === options.hostId ? this.#isOwnCoordinatorLeaving : this.#monitor.isAvoided(host)),
    });
    options.directory.onChange(() => {
      this.#groups = null;
    });
  }

  /**
   * @param demand - what is to be placed
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
  applyLimitReports(placer: HostEntry | null, reports: readonly LimitReport[] | undefined): void {
    // A host of an earlier version says nothing of limits.
    if (placer !== null && reports !== undefined) {
      this.#options.rates.applyReports(reports, placer.id);
    }
  }

  /** @inheritdoc */
  choose(group: PlacementGroup): HostEntry | null {
    return this.#chooser.choose(group);
  }

  /** @inheritdoc */
  isOwnCoordinatorLeaving(): boolean {
    return this.#isOwnCoordinatorLeaving;
  }

  /** @inheritdoc */
  query(placer: HostEntry | null, request: PlacementRequest): PlacementQuery {
    return placer === null ? this.#queryOwnCoordinator(request) : this.#queryPeer(placer, request);
  }

  /** @inheritdoc */
  recordFailure(placer: HostEntry, detail: string): void {
    this.#monitor.recordFailure(placer, detail);
  }

  /** @inheritdoc */
  recordLeaving(placer: HostEntry | null): void {
    if (placer === null) {
      this.#isOwnCoordinatorLeaving = true;
    } else {
      this.#monitor.recordFailure(placer, 'it is leaving');
    }
  }

  /** @inheritdoc */
  report(placer: HostEntry | null, note: PlacementReport): void {
    if (placer === null) {
      this.#options.coordinator.handleReport(note);
      return;
    }
    const { peerAddress } = placer;
    const waiting = this.#reports.get(peerAddress);
    if (waiting !== undefined) {
      waiting.push(note);
      return;
    }
    this.#reports.set(peerAddress, [note]);
    setTimeout(() => this.#sendReports(peerAddress), REPORT_DELAY_MS);
  }

  /** Ends what runs in the background. */
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

  #queryPeer(placer: HostEntry, request: PlacementRequest): PlacementQuery {
    const controller = new AbortController();
    return {
      result: this.#post(placer, request, controller),
      withdraw: () => controller.abort(),
    };
  }

  async #post(
    placer: HostEntry,
    request: PlacementRequest,
    controller: AbortController,
  ): Promise<PlacementResult> {
    const release = this.#monitor.watch(placer, controller);
    try {
      const response = await this.#options.connections.get(`http://${placer.peerAddress}`).request({
        method: 'POST',
        path: PLACEMENT_PATHS.place,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(request),
        signal: controller.signal,
      });
      if (response.statusCode !== 200) {
        await response.body.dump();
        throw new Error(`host ${placer.id} answered a placement with ${response.statusCode}`);
      }
      return JSON.parse(await readBoundedText(response.body)) as PlacementResult;
    } finally {
      release();
    }
  }

  #sendReports(peerAddress: string): void {
    const notes = this.#reports.get(peerAddress) ?? [];
    this.#reports.delete(peerAddress);
    this.#options.connections.get(`http://${peerAddress}`).request({
      method: 'POST',
      path: PLACEMENT_PATHS.reports,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(notes),
      signal: AbortSignal.timeout(REPORT_TIMEOUT_MS),
    }).then((response) => response.body.dump()).catch((error: unknown) => {
      this.#options.logger.debug(
        { event: 'notesLost', peerAddress, error: String(error) },
        'the placing host did not take notes; it forgets the requests at their deadline',
      );
    });
  }
}
