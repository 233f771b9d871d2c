import { toId, type IdempotencyKey } from '../lib/ids.ts';
import type { ClaimEvent } from './ClaimEvent.ts';
import type { ClaimPort, ClaimRequest } from './ClaimPort.ts';

/** A ticket that is refused like every other key. */
const REFUSED_TICKET = 'refused-ticket';

/** The baseline that serves no non-repeatable request: every claim is unavailable. */
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
    // Nobody is asked.
  }

  /** @inheritdoc */
  takeEvents(): ClaimEvent[] {
    const events = this.#events;
    this.#events = [];
    return events;
  }

  /** @inheritdoc */
  handlePeerMessage(): void {
    // Claims of others go elsewhere.
  }

  /** @inheritdoc */
  handleKeyValueAnswer(): boolean {
    return false;
  }

  /** @inheritdoc */
  tick(): void {
    // Nothing falls due.
  }

  /** @inheritdoc */
  getNextWakeMs(): number {
    return Infinity;
  }
}
