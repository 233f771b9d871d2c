import { pino } from 'pino';
import { Directory } from '../../src/directory/Directory.ts';
import { EMPTY_NOTICE } from '../../src/directory/UpstreamNotice.ts';
import { UpstreamNoticeHandler } from '../../src/directory/UpstreamNoticeHandler.ts';
import type { UpstreamEntry } from '../../src/directory/UpstreamEntry.ts';
import { toId, type PoolId, type UpstreamId } from '../../src/lib/ids.ts';
import { ManualClock } from '../../src/time/ManualClock.ts';

const POOL_ID = toId<PoolId>('pool');
/** Arrivals allowed during a back-off after its first half second. */
export const ALLOWED_ARRIVALS = 2;
const BACK_OFF_SLACK_MS = 500;
/** Largest delay between a send and its arrival; less than {@link BACK_OFF_SLACK_MS}. */
const MAX_DELAY_MS = 400;

/** One step of a run of the model. */
export interface ClosureAction {
  readonly kind: 'send' | 'answer' | 'leave' | 'backOff' | 'restart' | 'list' | 'listOld' | 'unlist'
    | 'readLess' | 'advance';
  readonly upstream: number;
  readonly durationMs: number;
}

interface ModelUpstream {
  readonly id: UpstreamId;
  startedAtMs: number;
  isLeaving: boolean;
  /** Whether the host has received an answer of this process that announces its leaving. */
  isKnownToLeave: boolean;
  /** Back-offs that the upstream asked the host for. */
  readonly backOffs: { readonly fromMs: number; readonly untilMs: number; arrivals: number }[];
}

interface Flight {
  readonly upstream: ModelUpstream;
  readonly startedAtMs: number;
  readonly wasKnownToLeave: boolean;
  readonly arrivesAtMs: number;
}

/** Host, its upstreams and a store; counts at the upstreams which sends arrive. */
export class UpstreamClosureModel {
  readonly #clock = new ManualClock();

  readonly #directory = new Directory(this.#clock);

  readonly #notices = new UpstreamNoticeHandler(
    this.#clock,
    this.#directory,
    pino({ level: 'silent' }),
  );

  readonly #upstreams: readonly ModelUpstream[];

  #flights: Flight[] = [];

  /** Number of sends after the host knew that their upstream leaves. */
  lateSendCount = 0;

  /** Most arrivals during any back-off after its first half second. */
  mostArrivals = 0;

  /** Number of all sends; a run with too few of them tests nothing. */
  sendCount = 0;

  /**
   * @param upstreamCount - number of upstreams
   */
  constructor(upstreamCount: number) {
    this.#upstreams = Array.from({ length: upstreamCount }, (_, index) => ({
      id: toId<UpstreamId>(`u${index}`),
      startedAtMs: 1,
      isLeaving: false,
      isKnownToLeave: false,
      backOffs: [],
    }));
    this.#upstreams.forEach((upstream) => this.#list(upstream, upstream.startedAtMs));
  }

  /**
   * Performs one step.
   *
   * @param action - the step
   */
  act({ kind, upstream: index, durationMs }: ClosureAction): void {
    const upstream = this.#upstreams[index % this.#upstreams.length];
    if (upstream === undefined) {
      return;
    }
    switch (kind) {
      case 'send':
        this.#send(upstream, durationMs);
        break;
      case 'answer':
        this.#answer(upstream, 0);
        break;
      case 'leave':
        upstream.isLeaving = true;
        this.#answer(upstream, 0);
        break;
      case 'backOff':
        this.#answer(upstream, durationMs * 2);
        break;
      case 'restart':
        Object.assign(upstream, {
          startedAtMs: upstream.startedAtMs + 10, isLeaving: false, isKnownToLeave: false,
        });
        break;
      case 'list':
        this.#list(upstream, upstream.startedAtMs);
        break;
      case 'listOld':
        this.#list(upstream, upstream.startedAtMs - 10);
        break;
      case 'unlist':
        this.#directory.apply({ kind: 'upstreamGone', upstreamId: upstream.id });
        break;
      case 'readLess':
        this.#directory.applySnapshot({ changes: [], revision: 1 });
        break;
      default:
        this.#advance(durationMs);
    }
  }

  #list({ id }: ModelUpstream, startedAtMs: number): void {
    const entry: UpstreamEntry = {
      id,
      startedAtMs,
      poolId: POOL_ID,
      address: `${id}:1`,
      failureDomain: 'a',
      isDraining: false,
      slots: 4,
      softwareVersion: 'v1',
      coldRemainingMs: 0,
    };
    this.#directory.apply({ kind: 'upstream', entry });
  }

  #send(upstream: ModelUpstream, durationMs: number): void {
    if (!this.#directory.isUsable(upstream.id)) {
      return;
    }
    this.sendCount += 1;
    const entry = this.#directory.getUpstream(upstream.id)?.entry;
    this.#flights.push({
      upstream,
      startedAtMs: upstream.startedAtMs,
      // An entry of an earlier process doesn't show what the current process has announced.
      wasKnownToLeave: upstream.isKnownToLeave && entry?.startedAtMs === upstream.startedAtMs,
      arrivesAtMs: this.#clock.getMonotonicMs() + Math.min(durationMs, MAX_DELAY_MS),
    });
  }

  /** Delivers an answer of the running process, if the host has the entry of this process. */
  #answer(upstream: ModelUpstream, backOffMs: number): void {
    const known = this.#directory.getUpstream(upstream.id)?.entry;
    if (known === undefined || known.startedAtMs !== upstream.startedAtMs) {
      return;
    }
    this.#notices.handle(known, {
      ...EMPTY_NOTICE, isLeaving: upstream.isLeaving, backOffMs,
    }, {
      requestId: 'r',
      status: backOffMs > 0 ? 503 : 200,
      sentAtMs: this.#clock.getMonotonicMs(),
    });
    const changed = upstream;
    changed.isKnownToLeave ||= upstream.isLeaving;
    if (backOffMs > 0) {
      const fromMs = this.#clock.getMonotonicMs();
      upstream.backOffs.push({ fromMs, untilMs: fromMs + backOffMs, arrivals: 0 });
    }
  }

  #advance(durationMs: number): void {
    const untilMs = this.#clock.getMonotonicMs() + durationMs;
    const due = this.#flights.filter(({ arrivesAtMs }) => arrivesAtMs <= untilMs);
    this.#flights = this.#flights.filter(({ arrivesAtMs }) => arrivesAtMs > untilMs);
    due.forEach((flight) => this.#arrive(flight));
    this.#clock.advance(durationMs);
  }

  #arrive({
    upstream, startedAtMs, wasKnownToLeave, arrivesAtMs,
  }: Flight): void {
    if (startedAtMs !== upstream.startedAtMs) {
      return;
    }
    this.lateSendCount += Number(wasKnownToLeave);
    upstream.backOffs.forEach((backOff) => {
      const seen = backOff;
      if (arrivesAtMs > seen.fromMs + BACK_OFF_SLACK_MS && arrivesAtMs < seen.untilMs) {
        seen.arrivals += 1;
        this.mostArrivals = Math.max(this.mostArrivals, seen.arrivals);
      }
    });
  }
}
