import type { ClaimEvent } from '../../src/claims/ClaimEvent.ts';
import type { ClaimPort, ClaimRequest } from '../../src/claims/ClaimPort.ts';
import { toId, type IdempotencyKey } from '../../src/lib/ids.ts';

/** The mutation that grants every claim at once, before anything is durable. */
export class ImmediateClaims implements ClaimPort {
  #events: ClaimEvent[] = [];

  /** @inheritdoc */
  requestClaim({ requestId }: ClaimRequest): void {
    this.#events.push({ kind: 'granted', requestId });
  }

  /** @inheritdoc */
  recordOutcome(): void {}

  /** @inheritdoc */
  releaseNotRun(): void {}

  /** @inheritdoc */
  createTicket(): IdempotencyKey {
    return toId<IdempotencyKey>('ticket');
  }

  /** @inheritdoc */
  handlePeerUnreachable(): void {}

  /** @inheritdoc */
  takeEvents(): ClaimEvent[] {
    const events = this.#events;
    this.#events = [];
    return events;
  }

  /** @inheritdoc */
  handlePeerMessage(): void {}

  /** @inheritdoc */
  handleKeyValueAnswer(): boolean {
    return false;
  }

  /** @inheritdoc */
  tick(): void {}

  /** @inheritdoc */
  getNextWakeMs(): number {
    return Infinity;
  }
}
