import type { UpstreamId } from '../lib/ids.ts';

/** An upstream that makes stage results, as the placing host sees it. */
export interface MakerRecord {
  readonly id: UpstreamId;
  /** Calls that are out. */
  callCount: number;
  /** When the newest call is likely to end. */
  busyUntilMs: number;
  /** Space that calls under way will take. */
  promisedBytes: number;
  /** Space that results take until they are freed or lapse. */
  heldBytes: number;
  /** Time that calls took, relative to what the pool's figures say; 1 is as expected. */
  slowness: number;
  /** Failures in a row. */
  failureCount: number;
  /** Calls in a row for which it had no place or no space. */
  noRoomCount: number;
  /** No call before this time. */
  avoidUntilMs: number;
}

interface HeldResult {
  readonly makerId: UpstreamId;
  readonly bytes: number;
  readonly expiresAtMs: number;
  /** Whether its upstream has been told that nobody needs it; it still takes up space. */
  isReleasing: boolean;
}

/** Pause after a failed call; doubles with each further one. */
const MIN_AVOID_MS = 300;
const MAX_AVOID_MS = 3_000;
/** Pause after a call that found no place or no space; doubles with each further one. */
const MIN_NO_ROOM_PAUSE_MS = 60;
const MAX_NO_ROOM_PAUSE_MS = 480;
/** Weight of the newest call in an upstream's slowness. */
const SLOWNESS_GAIN = 0.4;

/** Calls, room and speed of the upstreams that make stage results. */
export class MakerTable {
  readonly #makers = new Map<UpstreamId, MakerRecord>();

  readonly #held = new Map<string, HeldResult>();

  /**
   * @param id - an upstream
   * @returns its record, made at the first call
   */
  get(id: UpstreamId): MakerRecord {
    const known = this.#makers.get(id);
    if (known !== undefined) {
      return known;
    }
    const maker: MakerRecord = {
      id,
      callCount: 0,
      busyUntilMs: 0,
      promisedBytes: 0,
      heldBytes: 0,
      slowness: 1,
      failureCount: 0,
      noRoomCount: 0,
      avoidUntilMs: 0,
    };
    this.#makers.set(id, maker);
    return maker;
  }

  /**
   * Lets an upstream be for a while that has no place for a call or no space for its results.
   *
   * @param id - the upstream
   * @param nowMs - the time of the step
   */
  recordNoRoom(id: UpstreamId, nowMs: number): void {
    const maker = this.get(id);
    const pauseMs = Math.min(MAX_NO_ROOM_PAUSE_MS, MIN_NO_ROOM_PAUSE_MS * 2 ** maker.noRoomCount);
    maker.noRoomCount += 1;
    maker.avoidUntilMs = nowMs + pauseMs;
  }

  /** @param id - an upstream that is gone, with its results */
  remove(id: UpstreamId): void {
    this.#makers.delete(id);
    [...this.#held].forEach(([handle, result]) => {
      if (result.makerId === id) {
        this.#held.delete(handle);
      }
    });
  }

  /**
   * @param makerId - who keeps it
   * @param handle - the result
   * @param bytes - its space
   * @param lapsesAtMs - when it goes by itself
   */
  hold(makerId: UpstreamId, handle: string, bytes: number, lapsesAtMs: number): void {
    this.#held.set(handle, {
      makerId, bytes, expiresAtMs: lapsesAtMs, isReleasing: false,
    });
    this.get(makerId).heldBytes += bytes;
  }

  /**
   * Marks a result that is not needed any more; it takes up space until its upstream has let it go.
   *
   * @param handle - the result
   * @returns who keeps it; null when it is not held
   */
  startRelease(handle: string): UpstreamId | null {
    const result = this.#held.get(handle);
    if (result === undefined || result.isReleasing) {
      return null;
    }
    result.isReleasing = true;
    return result.makerId;
  }

  /**
   * Gives back the space of results.
   *
   * @param handles - results that are gone
   */
  removeResults(handles: readonly string[]): void {
    handles.forEach((handle) => {
      const result = this.#held.get(handle);
      if (result !== undefined) {
        this.#held.delete(handle);
        this.get(result.makerId).heldBytes -= result.bytes;
      }
    });
  }

  /**
   * @param handle - a result
   * @returns whether it still stands, as far as is known
   */
  isHeld(handle: string): boolean {
    return this.#held.get(handle)?.isReleasing === false;
  }

  /**
   * @param handle - a result
   * @returns when it goes by itself; null when it does not stand, as far as is known
   */
  getExpiryMs(handle: string): number | null {
    const result = this.#held.get(handle);
    return result?.isReleasing === false ? result.expiresAtMs : null;
  }

  /** @param nowMs - results that lapse until then are let go */
  expire(nowMs: number): void {
    this.removeResults([...this.#held]
      .filter(([, result]) => result.expiresAtMs <= nowMs)
      .map(([handle]) => handle));
  }

  /**
   * @param id - who answered
   * @param tookMs - how long it took
   * @param expectedMs - how long the pool's figures say
   */
  recordSuccess(id: UpstreamId, tookMs: number, expectedMs: number): void {
    const maker = this.get(id);
    maker.failureCount = 0;
    maker.slowness += SLOWNESS_GAIN * (tookMs / expectedMs - maker.slowness);
  }

  /**
   * @param id - who failed
   * @param nowMs - the time of the step
   */
  recordFailure(id: UpstreamId, nowMs: number): void {
    const maker = this.get(id);
    const pauseMs = Math.min(MAX_AVOID_MS, MIN_AVOID_MS * 2 ** maker.failureCount);
    maker.failureCount += 1;
    maker.avoidUntilMs = nowMs + pauseMs;
  }
}
