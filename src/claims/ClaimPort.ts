import type { RequestAnswer } from '../answers/RequestAnswer.ts';
import type { KeyValueAnsweredInput } from '../core/CoreInput.ts';
import type {
  AccountId, HostId, IdempotencyKey, IncarnationId, RequestId,
} from '../lib/ids.ts';
import type { PeerMessage } from '../peers/PeerMessage.ts';
import type { ClaimEvent } from './ClaimEvent.ts';

/** What a claim is asked for. */
export interface ClaimRequest {
  readonly requestId: RequestId;
  readonly accountId: AccountId;
  readonly idempotencyKey: IdempotencyKey;
  /** SHA-256 of the request, hexadecimal; the same key with another digest is refused. */
  readonly inputDigest: string;
}

/** What the core asks of the claim log; each request gets exactly one event. */
export interface ClaimPort {
  requestClaim(request: ClaimRequest): void;
  recordOutcome(requestId: RequestId, answer: RequestAnswer): void;
  releaseNotRun(requestId: RequestId): void;
  /** Mints a key that works without the platform while this process lives. */
  createTicket(accountId: AccountId): IdempotencyKey;
  /** No connection to a peer could be made or kept: what it was asked is done here. */
  handlePeerUnreachable(hostId: HostId): void;
  takeEvents(): ClaimEvent[];
  handlePeerMessage(
    fromHostId: HostId, fromIncarnationId: IncarnationId, message: PeerMessage,
  ): void;
  handleKeyValueAnswer(input: KeyValueAnsweredInput): boolean;
  tick(): void;
  getNextWakeMs(): number;
}
