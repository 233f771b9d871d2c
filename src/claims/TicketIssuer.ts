import { createHmac, timingSafeEqual } from 'node:crypto';
import type { CoreContext } from '../core/CoreContext.ts';
import {
  toId, type AccountId, type HostId, type IncarnationId,
} from '../lib/ids.ts';
import { createClaimBucket, type ClaimEntry } from './ClaimBucket.ts';
import type { ClaimOperation, ClaimResult } from './ClaimOperation.ts';
import type { ClaimOptions } from './ClaimOptions.ts';
import { evaluateOperation } from './evaluateOperation.ts';

const TICKET_PREFIX = 'ticket1';
const SEPARATOR = '~';
const PART_COUNT = 6;
const TICKET_BUCKET = 0;

/** What a ticket says about itself; not proved until its mint has checked the code. */
export interface TicketOrigin {
  readonly hostId: HostId;
  readonly incarnationId: IncarnationId;
}

/**
 * Reads who minted a ticket.
 *
 * @param text - an idempotency key
 * @returns the minting host, or null when the key is no ticket
 */
export function parseTicket(text: string): TicketOrigin | null {
  const parts = text.split(SEPARATOR);
  const [prefix, hostId, incarnationId] = parts;
  const isTicket = prefix === TICKET_PREFIX && parts.length === PART_COUNT
    && hostId !== undefined && incarnationId !== undefined;
  return isTicket
    ? { hostId: toId(decodeURIComponent(hostId)), incarnationId: toId(incarnationId) }
    : null;
}

/**
 * Mints idempotency keys whose claims this incarnation alone decides, in its memory. They hold at
 * most once without the platform for as long as the process lives; after its end no other process
 * can run them, and their outcome is unknown.
 */
export class TicketIssuer {
  readonly #context: CoreContext;

  readonly #options: ClaimOptions;

  readonly #secret: string;

  readonly #entries = new Map<string, ClaimEntry>();

  readonly #createdMsByKey = new Map<string, number>();

  /**
   * @param context - identity, time and randomness; its hex ids must be unguessable
   * @param options - settings of the claim log
   */
  constructor(context: CoreContext, options: ClaimOptions) {
    this.#context = context;
    this.#options = options;
    this.#secret = `${context.random.getHexId()}${context.random.getHexId()}`;
  }

  /**
   * @param accountId - the only account that may use the ticket
   * @returns an unguessable idempotency key bound to this incarnation
   */
  createTicket(accountId: AccountId): string {
    const { hostId, incarnationId } = this.#context.self;
    const body = [
      TICKET_PREFIX, encodeURIComponent(hostId), incarnationId,
      Math.floor(this.#context.getNowMs()), this.#context.random.getHexId(),
    ].join(SEPARATOR);
    return `${body}${SEPARATOR}${this.#computeMac(accountId, body)}`;
  }

  /**
   * Carries out an operation on a ticket of this incarnation.
   *
   * @param accountId - the account that used the ticket
   * @param ticket - the ticket's text
   * @param operation - the operation; its key is the claim key of the ticket
   * @returns the result, at once
   */
  apply(accountId: AccountId, ticket: string, operation: ClaimOperation): ClaimResult {
    const createdMs = this.#getCreatedMs(accountId, ticket);
    if (createdMs === null) {
      // This incarnation alone could have run it, and it never does: the history is known.
      return { kind: 'unavailable', isKeyHistoryKnown: true, isUncertain: false };
    }
    const isExpired = createdMs <= this.#context.getNowMs() - this.#options.ticketLifetimeMs;
    if (isExpired && operation.kind === 'claim') {
      return { kind: 'expired' };
    }
    this.#removeExpired();
    const isFull = this.#entries.size >= this.#options.maxTickets
      && !this.#entries.has(operation.key);
    if (isFull) {
      return { kind: 'unavailable', isKeyHistoryKnown: true, isUncertain: false };
    }
    return this.#evaluate(operation, createdMs);
  }

  #evaluate(operation: ClaimOperation, createdMs: number): ClaimResult {
    const bucket = { ...createClaimBucket(TICKET_BUCKET, 0), claims: this.#entries };
    const nowMs = this.#context.getNowMs();
    const evaluation = evaluateOperation(operation, {
      buckets: [{ bucket, version: 0, readAtMs: nowMs }], wallMs: nowMs, freshAfterMs: nowMs,
    });
    switch (evaluation.kind) {
      case 'resolved':
        return evaluation.result;
      case 'write':
        this.#entries.set(operation.key, evaluation.entry);
        this.#createdMsByKey.set(operation.key, createdMs);
        return { kind: operation.kind === 'claim' ? 'granted' : 'stored' };
      default:
        return { kind: 'unavailable', isKeyHistoryKnown: false, isUncertain: false };
    }
  }

  #getCreatedMs(accountId: AccountId, ticket: string): number | null {
    const end = ticket.lastIndexOf(SEPARATOR);
    const body = ticket.slice(0, end);
    const given = Buffer.from(ticket.slice(end + 1));
    const expected = Buffer.from(this.#computeMac(accountId, body));
    const isGenuine = given.length === expected.length && timingSafeEqual(given, expected);
    return isGenuine ? Number(body.split(SEPARATOR)[3]) : null;
  }

  #computeMac(accountId: AccountId, body: string): string {
    return createHmac('sha256', this.#secret)
      .update(JSON.stringify([accountId, body]))
      .digest('hex');
  }

  /** Entries lie in the order of their use; an expired ticket can't be claimed again. */
  #removeExpired(): void {
    const expiredBeforeMs = this.#context.getNowMs() - this.#options.ticketLifetimeMs;
    let first = this.#createdMsByKey.entries().next().value;
    while (first !== undefined && first[1] <= expiredBeforeMs) {
      this.#createdMsByKey.delete(first[0]);
      this.#entries.delete(first[0]);
      first = this.#createdMsByKey.entries().next().value;
    }
  }
}
