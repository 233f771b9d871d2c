import type { KnownHost } from '../directory/HostEntry.ts';
import type { UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import type { OpenGeneration } from './OpenGeneration.ts';
import type { PlacementReport, PlacementRequest } from './PlacementRequest.ts';

interface OpenRecord extends Omit<OpenGeneration, 'remainingMs'> {
  readonly coordinatorKey: string;
  readonly deadlineAtMs: number;
}

/** Tells the processes of coordinators apart; a host that starts again knows nothing of before. */
function getCoordinatorKey(coordinator: KnownHost | null): string {
  return coordinator === null ? '' : `${coordinator.id} ${coordinator.registeredRevision}`;
}

/**
 * The generations that this host has open at engines, and the coordinator that placed each.
 *
 * Load pattern: the coordinator of a busy pool is killed while its engines are full. Its successor
 * knows of none of the generations; the hosts that sent them know them exactly.
 */
export class OpenGenerations {
  readonly #clock: Clock;

  readonly #records = new Map<string, OpenRecord>();

  /**
   * @param clock - the source of the current time
   */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param coordinator - the coordinator that placed a request; null for this host
   * @param request - the request
   * @param upstreamId - the engine that was chosen
   */
  recordPlaced(
    coordinator: KnownHost | null,
    request: PlacementRequest,
    upstreamId: UpstreamId,
  ): void {
    this.#records.set(request.requestId, {
      requestId: request.requestId,
      upstreamId,
      memoryTokens: request.promptTokens + request.maxOutputTokens,
      coordinatorKey: getCoordinatorKey(coordinator),
      deadlineAtMs: this.#clock.getMonotonicMs() + request.remainingMs,
    });
  }

  /** @param report - the progress of a placed request */
  recordReport({ kind, requestId, upstreamId }: PlacementReport): void {
    if (kind !== 'started' && this.#records.get(requestId)?.upstreamId === upstreamId) {
      this.#records.delete(requestId);
    }
  }

  /**
   * Lists what a coordinator can't know by itself, since another one has placed it. The list is
   * empty unless the coordinator has changed.
   *
   * @param coordinator - the coordinator that is to learn of it; null for this host
   * @param getUpstreamIds - finds the engines at which that coordinator may place
   * @returns the open generations that other coordinators have placed at these engines
   */
  listPlacedByOthers(
    coordinator: KnownHost | null,
    getUpstreamIds: () => ReadonlySet<UpstreamId>,
  ): OpenGeneration[] {
    const nowMs = this.#clock.getMonotonicMs();
    const key = getCoordinatorKey(coordinator);
    const others = [...this.#records.values()]
      .filter(({ coordinatorKey }) => coordinatorKey !== key);
    if (others.length === 0) {
      return [];
    }
    const upstreamIds = getUpstreamIds();
    return others
      .filter(({ upstreamId }) => upstreamIds.has(upstreamId))
      .map(({
        requestId, upstreamId, memoryTokens, deadlineAtMs,
      }) => ({
        requestId, upstreamId, memoryTokens, remainingMs: Math.max(0, deadlineAtMs - nowMs),
      }));
  }
}
