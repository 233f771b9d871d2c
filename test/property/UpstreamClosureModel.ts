import { pino } from 'pino';
import { Directory } from '../../src/directory/Directory.ts';
import { EMPTY_NOTICE } from '../../src/directory/UpstreamNotice.ts';
import { UpstreamNoticeHandler } from '../../src/directory/UpstreamNoticeHandler.ts';
import type { UpstreamEntry } from '../../src/directory/UpstreamEntry.ts';
import { toId, type PoolId, type UpstreamId } from '../../src/lib/ids.ts';
import { ManualClock } from '../../src/time/ManualClock.ts';

const POOL_ID = toId<PoolId>('pool');
/** Arrivals that a back-off allows after its first half second. */
export const ALLOWED_ARRIVALS = 2;
const BACK_OFF_SLACK_MS = 500;
/** Largest delay between a send and its arrival; under the slack. */
const MAX_DELAY_MS = 400;

/** One thing that happens in the model. */
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
  /** Whether an answer of this process that says so has reached the host. */
  isKnownToLeave: boolean;
  /** Back-offs that this host was asked for. */
  readonly backOffs: { readonly fromMs: number; readonly untilMs: number; arrivals: number }[];
}

interface Flight {
  readonly upstream: ModelUpstream;
  readonly startedAtMs: number;
  readonly wasKnownToLeave: boolean;
  readonly arrivesAtMs: number;
}

/** A host, its upstreams and a store; checks at the upstreams what reaches them. */
export class UpstreamClosureModel {
  readonly #clock = new ManualClock();

  readonly #directory = new Directory(this.#clock);

  readonly #notices = new UpstreamNoticeHandler(this.#clock, this.#directory, pino({ level: 'silent' }));

  readonly #upstreams: readonly ModelUpstream[];

  #flights: Flight[] = [];

  /** Sends after the host knew that their upstream leaves. */
  lateSendCount = 0;

  /** Most arrivals that any back-off has seen after its first half second. */
  mostArrivals = 0;

  /** Sends in all, so that a run which sends nothing proves nothing. */
  sendCount = 0;

  /**
   * @param upstreamCount - how many upstreams there are
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

  /** @param action - what happens now */
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
      // An entry of a process before this one says nothing of what this one has told.
      wasKnownToLeave: upstream.isKnownToLeave && entry?.startedAtMs === upstream.startedAtMs,
      arrivesAtMs: this.#clock.getMonotonicMs() + Math.min(durationMs, MAX_DELAY_MS),
    });
  }

  /** The process that runs answers, as far as the host knows of it. */
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
