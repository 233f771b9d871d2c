import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { HostEntry } from '../directory/HostEntry.ts';
import type { HostId, UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import type { UpstreamConnections } from '../upstreams/UpstreamConnections.ts';
import type { PlacementDesk } from './PlacementDesk.ts';
import { PLACEMENT_PATHS } from './PLACEMENT_PATHS.ts';
import { findPlacementGroups, type PlacementGroup } from './PlacementGroup.ts';
import {
  REFUSAL, type PlacementDemand, type PlacementNote, type PlacementRequest, type PlacementResult,
  type StandingResult,
} from './PlacementRequest.ts';
import { PlacerChooser } from './PlacerChooser.ts';
import { PlacerWatch } from './PlacerWatch.ts';
import { orderGroups } from './orderGroups.ts';

/** What a placement client is built from. */
export interface PlacementClientOptions {
  readonly clock: Clock;
  readonly hostId: HostId;
  readonly directory: Directory;
  /** This host's own desk, for when it is the one that places. */
  readonly desk: PlacementDesk;
  readonly connections: UpstreamConnections;
  readonly logger: Logger;
}

/** What becomes of a placement in the end; it may have been handed over before. */
export type FinalPlacementResult = Exclude<PlacementResult, { kind: 'handedOver' }>;

/** A placement that is under way. */
export interface RunningPlacement {
  readonly result: Promise<FinalPlacementResult>;
  /** Withdraws the request. */
  cancel(): void;
  /**
   * Tells who placed it how the request goes on.
   *
   * @param kind - see {@link PlacementNote}
   * @param upstreamId - the engine that was chosen
   */
  note(kind: PlacementNote['kind'], upstreamId: UpstreamId): void;
}

/** Notes are collected for this long before they are sent. */
const NOTE_DELAY_MS = 10;
const NOTE_TIMEOUT_MS = 1_000;

/** Groups that a request asks in turn while they refuse it. */
const MAX_GROUPS = 2;
/** Where there is nothing to place on, this host says so itself. */
const NO_GROUP: PlacementGroup = { domains: [], weight: 1 };

function createRequest(
  demand: PlacementDemand,
  group: PlacementGroup,
  elapsedMs: number,
  standingResults: readonly StandingResult[],
  isAskedAgain: boolean,
): PlacementRequest {
  return {
    ...demand,
    domains: group.domains,
    standingResults,
    isPlacedAgain: demand.isPlacedAgain || isAskedAgain,
    onTimeMs: demand.onTimeMs - elapsedMs,
    remainingMs: demand.remainingMs - elapsedMs,
  };
}

/** What requests of one session have in common: the last part of their prompts. */
function getSessionKey({ parts, requestId }: PlacementDemand): string {
  return parts.at(-1)?.id ?? requestId;
}

/** Has requests placed by the host that places for a group, or by this one when that is away. */
export class PlacementClient {
  readonly #options: PlacementClientOptions;

  readonly #watch: PlacerWatch;

  readonly #chooser: PlacerChooser;

  /** Whether this host leaves, so that others place for it as well. */
  #isOwnDeskLeaving = false;

  /** Null when the directory has changed since they were found. */
  #groups: readonly PlacementGroup[] | null = null;

  readonly #notes = new Map<string, PlacementNote[]>();

  /**
   * @param options - see {@link PlacementClientOptions}
   */
  constructor(options: PlacementClientOptions) {
    this.#options = options;
    this.#watch = new PlacerWatch(options);
    this.#chooser = new PlacerChooser({
      ...options,
      isAvoided: (host) => (
        host.id === options.hostId ? this.#isOwnDeskLeaving : this.#watch.isAvoided(host)),
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
    const startedAtMs = this.#options.clock.getMonotonicMs();
    const waitingGroups = this.#getGroups(demand);
    let isCancelled = false;
    let cancelCurrent = (): void => {};
    let placer: HostEntry | null = null;
    let standing: readonly StandingResult[] = [];
    let isAskedAgain = false;
    const attempt = async (group: PlacementGroup): Promise<FinalPlacementResult> => {
      const chosen = this.#chooser.choose(group);
      placer = chosen;
      if (chosen === null && this.#isOwnDeskLeaving) {
        return { kind: 'refused', reason: REFUSAL.unreachable, retryAfterMs: 0 };
      }
      const elapsedMs = this.#options.clock.getMonotonicMs() - startedAtMs;
      const request = createRequest(demand, group, elapsedMs, standing, isAskedAgain);
      const controller = new AbortController();
      try {
        const result = await (chosen === null
          ? new Promise<PlacementResult>((resolve) => {
            cancelCurrent = this.#options.desk.place(request, resolve);
          })
          : this.#placeAt(chosen, request, controller, (cancel) => {
            cancelCurrent = cancel;
          }));
        if (result.kind !== 'handedOver') {
          return result;
        }
        standing = result.results;
        this.#noteLeaving(chosen);
      } catch (error) {
        if (isCancelled || chosen === null || request.remainingMs <= 0) {
          return { kind: 'refused', reason: REFUSAL.unreachable, retryAfterMs: 0 };
        }
        this.#watch.noteFailure(chosen, String(error));
        // The host that was asked may have sent pieces, and may go on.
        isAskedAgain = true;
      }
      return isCancelled
        ? { kind: 'refused', reason: REFUSAL.unreachable, retryAfterMs: 0 }
        : attempt(group);
    };
    const attemptInTurn = async (): Promise<FinalPlacementResult> => {
      const result = await attempt(waitingGroups.shift() ?? NO_GROUP);
      return result.kind === 'refused' && !isCancelled && waitingGroups.length > 0
        ? attemptInTurn()
        : result;
    };
    return {
      result: attemptInTurn(),
      cancel: () => {
        isCancelled = true;
        cancelCurrent();
      },
      note: (kind, upstreamId) => {
        this.#note(placer, { requestId: demand.requestId, upstreamId, kind });
      },
    };
  }

  /** Ends what runs in the background. */
  close(): void {
    this.#watch.close();
  }

  #getGroups(demand: PlacementDemand): PlacementGroup[] {
    this.#groups ??= findPlacementGroups(this.#options.directory);
    return orderGroups(this.#groups, getSessionKey(demand)).slice(0, MAX_GROUPS);
  }

  async #placeAt(
    placer: HostEntry,
    request: PlacementRequest,
    controller: AbortController,
    setCancel: (cancel: () => void) => void,
  ): Promise<PlacementResult> {
    setCancel(() => controller.abort());
    const release = this.#watch.watch(placer, controller);
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
      return await response.body.json() as PlacementResult;
    } finally {
      release();
    }
  }

  /** @param placer - a host that hands its placements over; null for this one */
  #noteLeaving(placer: HostEntry | null): void {
    if (placer === null) {
      this.#isOwnDeskLeaving = true;
    } else {
      this.#watch.noteFailure(placer, 'it is leaving');
    }
  }

  #note(placer: HostEntry | null, note: PlacementNote): void {
    if (placer === null) {
      this.#options.desk.note(note);
      return;
    }
    const { peerAddress } = placer;
    const waiting = this.#notes.get(peerAddress);
    if (waiting !== undefined) {
      waiting.push(note);
      return;
    }
    this.#notes.set(peerAddress, [note]);
    setTimeout(() => this.#sendNotes(peerAddress), NOTE_DELAY_MS);
  }

  #sendNotes(peerAddress: string): void {
    const notes = this.#notes.get(peerAddress) ?? [];
    this.#notes.delete(peerAddress);
    this.#options.connections.get(`http://${peerAddress}`).request({
      method: 'POST',
      path: PLACEMENT_PATHS.notes,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(notes),
      signal: AbortSignal.timeout(NOTE_TIMEOUT_MS),
    }).then((response) => response.body.dump()).catch((error: unknown) => {
      this.#options.logger.debug(
        { event: 'notesLost', peerAddress, error: String(error) },
        'the placing host did not take notes; it forgets the requests at their deadline',
      );
    });
  }
}
