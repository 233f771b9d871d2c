import { HolderShares, type HolderStanding } from './HolderShares.ts';
import { RefusedRequests, type Repetition } from './RefusedRequests.ts';
import type { RequestCosts } from './getRequestCosts.ts';
import { SessionBook } from './SessionBook.ts';
import { SHARE_RANK, type ShareRank } from './SHARE_RANK.ts';

/** A request as far as shares are concerned. */
export interface ShareRequest {
  /** The client account. */
  readonly account: string;
  /** The kind of request: the name of its route. */
  readonly kind: string;
  /** What requests of one session share. */
  readonly session: string;
  /** Names the content; the same for a repeated request, which has a new id. */
  readonly content: string;
  readonly costs: RequestCosts;
}

/** The circumstances of a refusal. */
export interface ShareRefusal {
  /** When the request was accepted; null if it was refused at once. */
  readonly takenAtMs: number | null;
  /** Whether it had come back before it was told to. */
  readonly isEarly: boolean;
  /** The time that its caller is told to wait. */
  readonly retryAfterMs: number;
  /** The time that it had left. */
  readonly remainingMs: number;
}

/** What may be scarce. */
export const RESOURCE = { stages: 'stages', engines: 'engines' } as const;

/** A member of {@link RESOURCE}. */
export type Resource = typeof RESOURCE[keyof typeof RESOURCE];

/** A resource stays scarce for this long after the last request that it could not serve in time. */
const SCARCE_MS = 1_000;

interface ResourceBook {
  readonly accounts: HolderShares;
  readonly kinds: HolderShares;
  lastScarceAtMs: number;
}

function createResourceBook(): ResourceBook {
  return { accounts: new HolderShares(), kinds: new HolderShares(), lastScarceAtMs: -Infinity };
}

function getCost(resource: Resource, { stageMs, engineTokens }: RequestCosts): number {
  return resource === RESOURCE.stages ? stageMs : engineTokens;
}

/** The shares within one priority class of the requests that one coordinator places. */
export class ClassShares {
  readonly #resources: Readonly<Record<Resource, ResourceBook>> = {
    [RESOURCE.stages]: createResourceBook(),
    [RESOURCE.engines]: createResourceBook(),
  };

  readonly #sessions = new SessionBook();

  readonly #refused = new RefusedRequests();

  /**
   * Records a request that arrives. A repeated request counts as demand only once.
   *
   * @param request - the request
   * @param nowMs - the current time
   * @returns how it relates to an earlier refusal
   */
  recordDemand(request: ShareRequest, nowMs: number): Repetition {
    const repetition = this.#refused.getRepetition(request.content, nowMs);
    if (repetition === 'none') {
      this.#forEachResource(request, (book, cost, resource) => {
        const isScarce = this.isScarce(resource, nowMs);
        book.accounts.recordDemand(request.account, cost, isScarce, nowMs);
        book.kinds.recordDemand(request.kind, cost, isScarce, nowMs);
      });
    }
    return repetition;
  }

  /**
   * @param request - a request that is accepted
   * @param nowMs - the current time
   */
  recordTaken(request: ShareRequest, nowMs: number): void {
    this.#forEachResource(request, ({ accounts, kinds }, cost) => {
      accounts.recordTaken(request.account, cost, nowMs);
      kinds.recordTaken(request.kind, cost, nowMs);
    });
  }

  /**
   * @param request - a request that is refused
   * @param refusal - its circumstances
   * @param nowMs - the current time
   */
  recordRefused(
    request: ShareRequest,
    {
      takenAtMs, isEarly, retryAfterMs, remainingMs,
    }: ShareRefusal,
    nowMs: number,
  ): void {
    this.#refused.add(request.content, retryAfterMs, remainingMs, nowMs);
    // Whoever repeats at once must not make its session look neglected by that.
    if (!isEarly) {
      this.#sessions.recordRefused(request.session, nowMs);
    }
    if (takenAtMs !== null) {
      this.#forEachResource(request, ({ accounts, kinds }, cost) => {
        accounts.recordReturned(request.account, cost, takenAtMs, nowMs);
        kinds.recordReturned(request.kind, cost, takenAtMs, nowMs);
      });
    }
  }

  /** @param request - a request that an engine runs */
  recordServed({ session, content }: ShareRequest): void {
    this.#sessions.recordServed(session);
    this.#refused.remove(content);
  }

  /**
   * @param resource - what could not serve a request in time
   * @param nowMs - the current time
   * @returns whether it was not scarce until now
   */
  recordScarce(resource: Resource, nowMs: number): boolean {
    const wasScarce = this.isScarce(resource, nowMs);
    this.#resources[resource].lastScarceAtMs = nowMs;
    return !wasScarce;
  }

  /**
   * @param resource - a resource
   * @param nowMs - the current time
   * @returns whether it is scarce for this class
   */
  isScarce(resource: Resource, nowMs: number): boolean {
    return nowMs - this.#resources[resource].lastScarceAtMs < SCARCE_MS;
  }

  /**
   * @param request - a request
   * @param isEarly - whether it came back before it was told to
   * @param nowMs - the current time
   * @returns its rank; always `within` while nothing is scarce
   */
  getRank(request: ShareRequest, isEarly: boolean, nowMs: number): ShareRank {
    const scarce = this.#getScarce(nowMs);
    if (scarce.length === 0) {
      return SHARE_RANK.within;
    }
    const ranks = scarce.map(({ accounts }) => accounts.getStanding(request.account, nowMs).rank);
    const isOver = isEarly || ranks.includes(SHARE_RANK.over);
    const isOwed = ranks.includes(SHARE_RANK.owed)
      || this.#sessions.isOwed(request.session, nowMs)
      || scarce.some(({ kinds }) => (
        kinds.getStanding(request.kind, nowMs).rank === SHARE_RANK.owed));
    if (isOver === isOwed) {
      return SHARE_RANK.within;
    }
    return isOver ? SHARE_RANK.over : SHARE_RANK.owed;
  }

  /**
   * @param account - a client account
   * @param nowMs - the current time
   * @returns its standing on the scarce resource of which it has taken most; null if none is scarce
   */
  getStanding(account: string, nowMs: number): HolderStanding | null {
    return this.#getScarce(nowMs)
      .map(({ accounts }) => accounts.getStanding(account, nowMs))
      .sort((left, right) => right.taken / right.share - left.taken / left.share)[0] ?? null;
  }

  /**
   * @param nowMs - the current time
   * @returns the accounts that are over their share of something scarce
   */
  getOverAccounts(nowMs: number): string[] {
    return [...new Set(this.#getScarce(nowMs).flatMap(({ accounts }) => (
      accounts.getOverHolders())))];
  }

  #getScarce(nowMs: number): ResourceBook[] {
    return Object.values(RESOURCE)
      .filter((resource) => this.isScarce(resource, nowMs))
      .map((resource) => this.#resources[resource]);
  }

  #forEachResource(
    { costs }: ShareRequest,
    action: (book: ResourceBook, cost: number, resource: Resource) => void,
  ): void {
    Object.values(RESOURCE).forEach((resource) => {
      const cost = getCost(resource, costs);
      if (cost > 0) {
        action(this.#resources[resource], cost, resource);
      }
    });
  }
}
