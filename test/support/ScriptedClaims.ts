import type { RequestAnswer } from '../../src/answers/RequestAnswer.ts';
import type { ClaimEvent } from '../../src/claims/ClaimEvent.ts';
import type { ClaimRequest } from '../../src/claims/ClaimPort.ts';
import { RefusingClaims } from '../../src/claims/RefusingClaims.ts';
import type { RequestId } from '../../src/lib/ids.ts';

function grantClaim({ requestId }: ClaimRequest): ClaimEvent {
  return { kind: 'granted', requestId };
}

/** Claim port that grants every claim at once unless scripted otherwise; records its calls. */
export class ScriptedClaims extends RefusingClaims {
  readonly requested: ClaimRequest[] = [];

  readonly outcomes: RequestAnswer[] = [];

  readonly released: RequestId[] = [];

  /** Creates the event for each claim; null leaves the claim unanswered. */
  script: (request: ClaimRequest) => ClaimEvent | null = grantClaim;

  #pending: ClaimEvent[] = [];

  override requestClaim(request: ClaimRequest): void {
    this.requested.push(request);
    const event = this.script(request);
    if (event !== null) {
      this.#pending.push(event);
    }
  }

  push(event: ClaimEvent): void {
    this.#pending.push(event);
  }

  override recordOutcome(_requestId?: RequestId, answer?: RequestAnswer): void {
    if (answer !== undefined) {
      this.outcomes.push(answer);
    }
  }

  override releaseNotRun(requestId?: RequestId): void {
    if (requestId !== undefined) {
      this.released.push(requestId);
    }
  }

  override takeEvents(): ClaimEvent[] {
    const events = this.#pending;
    this.#pending = [];
    return events;
  }
}
