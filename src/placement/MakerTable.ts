import type { UpstreamId } from '../lib/ids.ts';

/** The known state of a maker: an upstream that runs stages and stores their results. */
export interface MakerRecord {
  readonly id: UpstreamId;
  /** Number of calls under way. */
  callCount: number;
  /** Expected end of the newest call. */
  busyUntilMs: number;
  /** Memory that the results of calls under way will take. */
  promisedBytes: number;
  /** Memory that stored results take until they are released or expire. */
  heldBytes: number;
  /** Moving average of call times relative to the pool's batch limits; 1 is as expected. */
  slowness: number;
  /** Number of consecutive failures. */
  failureCount: number;
  /** Number of consecutive calls for which it had no slot or no memory. */
  noRoomCount: number;
  /** It gets no call before this time. */
  avoidUntilMs: number;
}

interface HeldResult {
  readonly makerId: UpstreamId;
  readonly bytes: number;
  readonly expiresAtMs: number;
  /** Whether its release is pending or under way; it still takes memory. */
  isReleasing: boolean;
}

/** Pause after a failed call; doubles with each consecutive failure. */
const MIN_AVOID_MS = 300;
const MAX_AVOID_MS = 3_000;
/** Pause after a call without a free slot or memory; doubles with each consecutive one. */
const MIN_NO_ROOM_PAUSE_MS = 60;
const MAX_NO_ROOM_PAUSE_MS = 480;
/** Weight of the newest call in the moving average of an upstream's slowness. */
const SLOWNESS_GAIN = 0.4;

/** Tracks the calls, memory and speed of makers. */
export class MakerTable {
  readonly #makers = new Map<UpstreamId, MakerRecord>();

  readonly #held = new Map<string, HeldResult>();

  /**
   * @param id - an upstream
   * @returns its record, created on first use
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

  /** @returns the makers with calls under way or stored results */
  getBusyIds(): UpstreamId[] {
    return [...this.#makers.values()]
      .filter(({ callCount, heldBytes }) => callCount > 0 || heldBytes > 0)
      .map(({ id }) => id);
  }

  /**
   * Avoids an upstream for a while that had no slot for a call or no memory for its results.
   *
   * @param id - the upstream
   * @param nowMs - the current time
   */
  recordNoRoom(id: UpstreamId, nowMs: number): void {
    const maker = this.get(id);
    const pauseMs = Math.min(MAX_NO_ROOM_PAUSE_MS, MIN_NO_ROOM_PAUSE_MS * 2 ** maker.noRoomCount);
    maker.noRoomCount += 1;
    maker.avoidUntilMs = nowMs + pauseMs;
  }

  /** @param id - an upstream that is gone, and its results with it */
  remove(id: UpstreamId): void {
    this.#makers.delete(id);
    [...this.#held].forEach(([handle, result]) => {
      if (result.makerId === id) {
        this.#held.delete(handle);
      }
    });
  }

  /**
   * Adds a result.
   *
   * @param makerId - the upstream that stores it
   * @param handle - the result
   * @param bytes - the memory it takes
   * @param expiresAtMs - when it expires
   */
  hold(makerId: UpstreamId, handle: string, bytes: number, expiresAtMs: number): void {
    this.#held.set(handle, {
      makerId, bytes, expiresAtMs, isReleasing: false,
    });
    this.get(makerId).heldBytes += bytes;
  }

  /**
   * Marks a result as not needed any more; it takes memory until its upstream has released it.
   *
   * @param handle - the result
   * @returns the upstream that stores it; null if it is unknown or marked already
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
   * Removes results and the memory they took.
   *
   * @param handles - results that no longer exist
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
   * @returns whether it is known to exist and is not to be released
   */
  isHeld(handle: string): boolean {
    return this.#held.get(handle)?.isReleasing === false;
  }

  /**
   * @param handle - a result
   * @returns when it expires; null if it is unknown or to be released
   */
  getExpiryMs(handle: string): number | null {
    const result = this.#held.get(handle);
    return result?.isReleasing === false ? result.expiresAtMs : null;
  }

  /** @param nowMs - the current time; results that have expired by then are removed */
  expire(nowMs: number): void {
    this.removeResults([...this.#held]
      .filter(([, result]) => result.expiresAtMs <= nowMs)
      .map(([handle]) => handle));
  }

  /**
   * @param id - the upstream that answered
   * @param tookMs - the duration of the call
   * @param expectedMs - the duration by the pool's batch limits
   */
  recordSuccess(id: UpstreamId, tookMs: number, expectedMs: number): void {
    const maker = this.get(id);
    maker.failureCount = 0;
    maker.slowness += SLOWNESS_GAIN * (tookMs / expectedMs - maker.slowness);
  }

  /**
   * @param id - the upstream that failed
   * @param nowMs - the current time
   */
  recordFailure(id: UpstreamId, nowMs: number): void {
    const maker = this.get(id);
    const pauseMs = Math.min(MAX_AVOID_MS, MIN_AVOID_MS * 2 ** maker.failureCount);
    maker.failureCount += 1;
    maker.avoidUntilMs = nowMs + pauseMs;
  }
}
