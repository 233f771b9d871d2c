import { toId, type IdempotencyKey } from '../lib/ids.ts';
import type { ClaimEvent } from './ClaimEvent.ts';
import type { ClaimPort, ClaimRequest } from './ClaimPort.ts';

/** Ticket that is refused like every other key. */
const REFUSED_TICKET = 'refused-ticket';

/** Baseline without a claim log: every claim is unavailable, so no non-repeatable request runs. */
export class RefusingClaims implements ClaimPort {
  #events: ClaimEvent[] = [];

  /** @inheritdoc */
  requestClaim({ requestId }: ClaimRequest): void {
    this.#events.push({ kind: 'unavailable', requestId, isKeyHistoryKnown: false });
  }

  /** @inheritdoc */
  recordOutcome(): void {
    // Nothing was ever claimed.
  }

  /** @inheritdoc */
  releaseNotRun(): void {
    // Nothing was ever claimed.
  }

  /** @inheritdoc */
  createTicket(): IdempotencyKey {
    return toId<IdempotencyKey>(REFUSED_TICKET);
  }

  /** @inheritdoc */
  handlePeerUnreachable(): void {
    // No operation is sent to a peer.
  }

  /** @inheritdoc */
  takeEvents(): ClaimEvent[] {
    const events = this.#events;
    this.#events = [];
    return events;
  }

  /** @inheritdoc */
  handlePeerMessage(): void {
    // This host handles no claims of peers.
  }

  /** @inheritdoc */
  handleKeyValueAnswer(): boolean {
    return false;
  }

  /** @inheritdoc */
  tick(): void {
    // No work is ever due.
  }

  /** @inheritdoc */
  getNextWakeMs(): number {
    return Infinity;
  }
}
