import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { KnownHost } from '../directory/HostEntry.ts';
import type { HostId, PoolId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import type { RolloutLeader } from './RolloutLeader.ts';
import type { RolloutReport, RolloutResponse } from './RolloutReport.ts';
import type { Rollouts } from './Rollouts.ts';
import type { RolloutTable } from './RolloutTable.ts';
import type { RolloutTransport } from './RolloutTransport.ts';

/** Options of a {@link RolloutReporter}. */
export interface RolloutReporterOptions {
  readonly clock: Clock;
  readonly hostId: HostId;
  readonly directory: Directory;
  readonly table: RolloutTable;
  readonly rollouts: Rollouts;
  readonly leader: RolloutLeader;
  readonly transport: RolloutTransport;
  readonly logger: Logger;
}

/** Interval of the checks while a rollout is known. */
const CHECK_INTERVAL_MS = 100;
/** Interval of a host's reports on one pool: at least this, and this time for each host. */
const MIN_REPORT_INTERVAL_MS = 250;
const REPORT_INTERVAL_PER_HOST_MS = 8;
const MAX_REPORT_INTERVAL_MS = 1_000;
/** A host that gave no answer is not asked to lead for this long. */
const AVOID_MS = 2_000;

/**
 * Reports what this host sees of rollouts to the host that leads them: the one that has been
 * registered the longest of those that answer. A host that finds itself to be that one leads.
 */
export class RolloutReporter {
  readonly #options: RolloutReporterOptions;

  readonly #nextReportAtMs = new Map<PoolId, number>();

  readonly #avoidedUntilMs = new Map<HostId, number>();

  #timer: NodeJS.Timeout | null = null;

  #isClosed = false;

  /**
   * @param options - see {@link RolloutReporterOptions}
   */
  constructor(options: RolloutReporterOptions) {
    this.#options = options;
  }

  /** Starts to report from the first order on; hosts without one have no timer. */
  start(): void {
    this.#options.directory.onChange(() => this.#startTimer());
    this.#startTimer();
  }

  /** Ends all reports. */
  close(): void {
    this.#isClosed = true;
    clearInterval(this.#timer ?? undefined);
  }

  /** Reports what is due, and decides while this host leads; called by a timer. */
  check(): void {
    const {
      clock, hostId, rollouts, leader,
    } = this.#options;
    rollouts.update();
    const nowMs = clock.getMonotonicMs();
    rollouts.getRunning()
      .filter(({ poolId, hasNews }) => hasNews || (this.#nextReportAtMs.get(poolId) ?? 0) <= nowMs)
      .forEach(({ poolId }) => this.#report(poolId, nowMs));
    if (this.#getLeader()?.id === hostId) {
      leader.run();
    }
  }

  #startTimer(): void {
    if (this.#timer === null && !this.#isClosed && !this.#options.table.isEmpty) {
      this.#timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
      this.#timer.unref();
    }
  }

  #report(poolId: PoolId, nowMs: number): void {
    const {
      rollouts, hostId, leader, logger,
    } = this.#options;
    const host = this.#getLeader();
    const report = rollouts.createReport(poolId);
    if (host === null || report === null) {
      return;
    }
    this.#nextReportAtMs.set(poolId, nowMs + this.#getIntervalMs());
    if (host.id === hostId) {
      rollouts.applyResponse(report, leader.handleReport(report));
      return;
    }
    this.#send(host, report)
      .then((response) => rollouts.applyResponse(report, response))
      .catch((error: unknown) => {
        this.#avoidedUntilMs.set(host.id, this.#options.clock.getMonotonicMs() + AVOID_MS);
        this.#nextReportAtMs.delete(poolId);
        logger.info({
          event: 'rolloutLeaderSilent', leaderId: host.id, poolId, error: String(error),
        }, 'the host that leads a rollout gave no answer; reporting to the next one');
      });
  }

  #send(host: KnownHost, report: RolloutReport): Promise<RolloutResponse> {
    return this.#options.transport.sendReport(host, report);
  }

  #getIntervalMs(): number {
    const { directory } = this.#options;
    return Math.min(MAX_REPORT_INTERVAL_MS, Math.max(
      MIN_REPORT_INTERVAL_MS,
      directory.hosts.size * REPORT_INTERVAL_PER_HOST_MS,
    ));
  }

  /** Finds the host that has been registered the longest of those that answer. */
  #getLeader(): KnownHost | null {
    const { clock, directory } = this.#options;
    const nowMs = clock.getMonotonicMs();
    return [...directory.hosts.values()]
      .filter(({ id }) => (this.#avoidedUntilMs.get(id) ?? 0) <= nowMs)
      .reduce<KnownHost | null>((oldest, host) => (
        oldest === null || host.registeredRevision < oldest.registeredRevision ? host : oldest
      ), null);
  }
}
