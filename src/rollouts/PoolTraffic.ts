import type { HostId, PoolId } from '../lib/ids.ts';
import type { RolloutReport, SlowBounds } from './RolloutReport.ts';
import { RouteRecorder } from './RouteRecorder.ts';

/** Identifies the process that reports. */
export interface ReporterIdentity {
  readonly hostId: HostId;
  /** Differs for each process of a host. */
  readonly processId: string;
}

/** Bad answers of the target after which this host stops by itself. */
const OWN_STOP_COUNT = 3;
/** The same, as a fraction of the answers that the target gave this host. */
const OWN_STOP_FRACTION = 0.3;

/** What this host has sent and seen of one order's pool. */
export class PoolTraffic {
  readonly orderId: string;

  readonly #routes = new Map<string, RouteRecorder>();

  #bounds: readonly SlowBounds[] = [];

  #isToldToStop = false;

  /** Revision of the newest status that this host knew when it stopped by itself. */
  #stoppedAtRevision: number | null = null;

  #reportedBadCount = 0;

  /**
   * @param orderId - the order
   */
  constructor(orderId: string) {
    this.orderId = orderId;
  }

  /** Whether the target has given bad answers since the last report. */
  get hasNews(): boolean {
    return this.#getSum('targetBadCount') > this.#reportedBadCount;
  }

  /**
   * @param statusRevision - revision of the newest status that this host knows
   * @returns whether this host sends nothing more to the target; its own stop lasts until a newer
   * status
   */
  hasStopped(statusRevision: number): boolean {
    return this.#isToldToStop || this.#stoppedAtRevision === statusRevision;
  }

  /** Stops sends to the target for good, since the leader found it bad. */
  stop(): void {
    this.#isToldToStop = true;
  }

  /**
   * @param route - name of a route
   * @returns its recorder
   */
  getRoute(route: string): RouteRecorder {
    const known = this.#routes.get(route);
    if (known !== undefined) {
      return known;
    }
    const recorder = new RouteRecorder(route);
    const bounds = this.#bounds.find((slowBounds) => slowBounds.route === route);
    if (bounds !== undefined) {
      recorder.setBounds(bounds);
    }
    this.#routes.set(route, recorder);
    return recorder;
  }

  /** @param bounds - latencies of each route above which answers count as bad */
  setBounds(bounds: readonly SlowBounds[]): void {
    this.#bounds = bounds;
    bounds.forEach((slowBounds) => this.#routes.get(slowBounds.route)?.setBounds(slowBounds));
  }

  /** Leaves out the answers that are open, since this host stood still. */
  forgetOpen(): void {
    this.#routes.forEach((recorder) => recorder.forgetOpen());
  }

  /**
   * Counts slow open answers, and stops this host's sends to the target if too many were bad.
   *
   * @param nowMs - the current time
   * @param statusRevision - revision of the newest status that this host knows
   * @returns whether this host has just stopped by itself
   */
  update(nowMs: number, statusRevision: number): boolean {
    this.#routes.forEach((recorder) => recorder.judgeOpen(nowMs));
    const badCount = this.#getSum('targetBadCount');
    const isBad = badCount >= OWN_STOP_COUNT
      && badCount >= this.#getSum('targetJudgedCount') * OWN_STOP_FRACTION;
    if (!isBad || this.#stoppedAtRevision !== null) {
      return false;
    }
    this.#stoppedAtRevision = statusRevision;
    return true;
  }

  /**
   * @param identity - the process
   * @param poolId - the pool
   * @param statusRevision - revision of the status by which this host acts
   * @param otherOpenCount - requests that run at other versions
   * @returns the report
   */
  createReport(
    { hostId, processId }: ReporterIdentity,
    poolId: PoolId,
    statusRevision: number,
    otherOpenCount: number,
  ): RolloutReport {
    this.#reportedBadCount = this.#getSum('targetBadCount');
    return {
      hostId,
      processId,
      poolId,
      orderId: this.orderId,
      statusRevision,
      otherOpenCount,
      hasStopped: this.hasStopped(statusRevision),
      routes: [...this.#routes.values()].map((recorder) => recorder.getCounts()),
    };
  }

  #getSum(count: 'targetBadCount' | 'targetJudgedCount'): number {
    return [...this.#routes.values()].reduce((sum, recorder) => sum + recorder[count], 0);
  }
}
