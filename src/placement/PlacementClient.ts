import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { HostEntry } from '../directory/HostEntry.ts';
import type { HostId, UpstreamId } from '../lib/ids.ts';
import { getHighestScored } from '../membership/getHighestScored.ts';
import type { Clock } from '../time/Clock.ts';
import type { UpstreamConnections } from '../upstreams/UpstreamConnections.ts';
import type { PlacementDesk } from './PlacementDesk.ts';
import { PLACEMENT_PATHS } from './PLACEMENT_PATHS.ts';
import {
  REFUSAL, type PlacementNote, type PlacementRequest, type PlacementResult,
} from './PlacementRequest.ts';
import { PlacerWatch } from './PlacerWatch.ts';

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

/** A placement that is under way. */
export interface RunningPlacement {
  readonly result: Promise<PlacementResult>;
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

/** Key by which all hosts choose the one that places. */
const PLACER_KEY = 'placement';
/** Notes are collected for this long before they are sent. */
const NOTE_DELAY_MS = 10;
const NOTE_TIMEOUT_MS = 1_000;

function deductTime(request: PlacementRequest, elapsedMs: number): PlacementRequest {
  return {
    ...request,
    onTimeMs: request.onTimeMs - elapsedMs,
    remainingMs: request.remainingMs - elapsedMs,
  };
}

/** Has requests placed by the host that places for all, or by this one when that is away. */
export class PlacementClient {
  readonly #options: PlacementClientOptions;

  readonly #watch: PlacerWatch;

  #placerId: HostId | undefined;

  readonly #notes = new Map<string, PlacementNote[]>();

  /**
   * @param options - see {@link PlacementClientOptions}
   */
  constructor(options: PlacementClientOptions) {
    this.#options = options;
    this.#watch = new PlacerWatch(options);
  }

  /**
   * @param request - what is to be placed
   * @returns the placement
   */
  place(request: PlacementRequest): RunningPlacement {
    const startedAtMs = this.#options.clock.getMonotonicMs();
    let isCancelled = false;
    let cancelCurrent = (): void => {};
    let placer: HostEntry | null = null;
    const attempt = async (): Promise<PlacementResult> => {
      placer = this.#choosePlacer();
      const elapsedMs = this.#options.clock.getMonotonicMs() - startedAtMs;
      const remaining = deductTime(request, elapsedMs);
      if (placer === null) {
        return new Promise((resolve) => {
          cancelCurrent = this.#options.desk.place(remaining, resolve);
        });
      }
      const controller = new AbortController();
      cancelCurrent = () => controller.abort();
      try {
        return await this.#placeAt(placer, remaining, controller);
      } catch (error) {
        if (isCancelled || remaining.remainingMs <= 0) {
          return { kind: 'refused', reason: REFUSAL.unreachable, retryAfterMs: 0 };
        }
        this.#watch.noteFailure(placer, String(error));
        return attempt();
      }
    };
    return {
      result: attempt(),
      cancel: () => {
        isCancelled = true;
        cancelCurrent();
      },
      note: (kind, upstreamId) => {
        this.#note(placer, { requestId: request.requestId, upstreamId, kind });
      },
    };
  }

  /** Ends what runs in the background. */
  close(): void {
    this.#watch.close();
  }

  #choosePlacer(): HostEntry | null {
    const { directory, hostId } = this.#options;
    const candidates = [...directory.hosts.values()]
      .filter((host) => host.id === hostId || !this.#watch.isAvoided(host));
    const [chosenId] = getHighestScored(PLACER_KEY, candidates.map((host) => host.id), 1);
    if (chosenId !== this.#placerId) {
      this.#options.logger.info(
        { event: 'placerChosen', hostId: chosenId ?? hostId, before: this.#placerId },
        'another host places for all',
      );
      this.#placerId = chosenId;
    }
    const chosen = chosenId === undefined ? undefined : directory.hosts.get(chosenId);
    return chosen === undefined || chosen.id === hostId ? null : chosen;
  }

  async #placeAt(
    placer: HostEntry,
    request: PlacementRequest,
    controller: AbortController,
  ): Promise<PlacementResult> {
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

  #note(placer: HostEntry | null, note: PlacementNote): void {
    if (placer === null) {
      this.#options.desk.note(note);
      this.#options.desk.run();
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
