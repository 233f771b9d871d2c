import type { RequestAnswer } from '../answers/RequestAnswer.ts';
import type { CoreContext } from '../core/CoreContext.ts';
import type { KeyValueAnsweredInput } from '../core/CoreInput.ts';
import type {
  AccountId, HostId, IdempotencyKey, IncarnationId, RequestId,
} from '../lib/ids.ts';
import type { PeerMessage } from '../peers/PeerMessage.ts';
import type { ClaimPort, ClaimRequest } from './ClaimPort.ts';
import type { ClaimOwners } from './ClaimOwners.ts';
import { RemoteOperationTable, type RemoteOperation } from './RemoteOperationTable.ts';
import { OUTCOME_UNKNOWN_REASON, type ClaimEvent } from './ClaimEvent.ts';
import type { ClaimOperation, ClaimResult } from './ClaimOperation.ts';
import type { ClaimOptions } from './ClaimOptions.ts';
import { ClaimShard } from './ClaimShard.ts';
import { createClaimEvent } from './createClaimEvent.ts';
import { createRecordedOutcome } from './createRecordedOutcome.ts';
import { getClaimKey, getShardIndex } from './getClaimKey.ts';
import { getKeyCreatedMs } from './getKeyCreatedMs.ts';
import { parseTicket, TicketIssuer } from './TicketIssuer.ts';

const MAX_GONE_INCARNATIONS = 4096;

/** Claim that this incarnation has requested or holds. */
interface ClaimRecord {
  readonly request: ClaimRequest;
  readonly operationKey: string;
  readonly token: string;
  /** `pending` until the event, `granted` until the outcome or the release, then `closing`. */
  readonly state: 'pending' | 'granted' | 'closing';
  /** Whether a peer may have written the claim. */
  readonly wasSentToPeer: boolean;
}

/**
 * Ensures that non-repeatable requests run at most once. Emits exactly one event per requested
 * claim, and `granted` only after the claim is durable in the platform (or, for a ticket, recorded
 * by the incarnation that issued it).
 */
export class ClaimManager implements ClaimPort {
  readonly #context: CoreContext;

  readonly #options: ClaimOptions;

  readonly #ticketIssuer: TicketIssuer;

  readonly #remoteOperations: RemoteOperationTable;

  readonly #shards = new Map<number, ClaimShard>();

  readonly #records = new Map<string, ClaimRecord>();

  readonly #tokens = new Map<RequestId, string>();

  readonly #goneIncarnationIds = new Set<IncarnationId>();

  #events: ClaimEvent[] = [];

  /**
   * @param context - identity, clock, randomness and output of this host
   * @param options - settings; start from `DEFAULT_CLAIM_OPTIONS`
   */
  constructor(context: CoreContext, options: ClaimOptions) {
    this.#context = context;
    this.#options = options;
    this.#ticketIssuer = new TicketIssuer(context, options);
    this.#remoteOperations = new RemoteOperationTable(context, options);
  }

  /**
   * Issues a ticket.
   *
   * @param accountId - the only account that may use the ticket
   * @returns an idempotency key that works without the platform while this process lives
   */
  createTicket(accountId: AccountId): IdempotencyKey {
    return this.#ticketIssuer.createTicket(accountId) as IdempotencyKey;
  }

  /**
   * Requests a claim. {@link takeEvents} returns exactly one event for the request later.
   *
   * @param request - the request whose key to claim
   */
  requestClaim(request: ClaimRequest): void {
    const createdMs = getKeyCreatedMs(request.idempotencyKey);
    if (createdMs !== null && createdMs < this.#options.getWallMs() - this.#options.retentionMs) {
      const { requestId } = request;
      const reason = OUTCOME_UNKNOWN_REASON.keyExpired;
      this.#events.push({ kind: 'outcomeUnknown', requestId, reason });
      return;
    }
    const token = this.#context.random.getHexId();
    const operationKey = getClaimKey(request.accountId, request.idempotencyKey);
    const record: ClaimRecord = {
      request, operationKey, token, state: 'pending', wasSentToPeer: false,
    };
    this.#records.set(token, record);
    this.#tokens.set(request.requestId, token);
    const { hostId, incarnationId } = this.#context.self;
    const { inputDigest } = request;
    this.#dispatch(record, {
      kind: 'claim', key: operationKey, token, hostId, incarnationId, inputDigest,
    });
  }

  /**
   * Records the outcome of a granted claim for later retries. Writes until it is durable.
   *
   * @param requestId - the request that was granted
   * @param answer - its final answer
   */
  recordOutcome(requestId: RequestId, answer: RequestAnswer): void {
    const record = this.#closeGranted(requestId);
    if (record !== null) {
      const { hostId } = this.#context.self;
      const outcome = createRecordedOutcome(answer, hostId, this.#options.maxOutcomeBytes);
      const { operationKey: key, token } = record;
      this.#dispatch(record, {
        kind: 'outcome', key, token, outcome,
      });
    }
  }

  /**
   * Releases a granted or still pending claim under which no byte was or will be sent. From this
   * call on, nothing may be sent for the request.
   *
   * @param requestId - the request
   */
  releaseNotRun(requestId: RequestId): void {
    const token = this.#tokens.get(requestId);
    const record = token === undefined ? undefined : this.#records.get(token);
    if (record !== undefined && record.state !== 'closing') {
      this.#release(record);
    }
  }

  /**
   * Replaces the members and the shard owners.
   *
   * @param owners - the members with their addresses and the owner of each shard
   */
  setOwners(owners: ClaimOwners): void {
    this.#remoteOperations.setOwners(owners);
  }

  /**
   * Records that a process is gone, so that its running claims count as abandoned.
   *
   * @param incarnationId - a process that is certainly or most probably gone
   */
  recordIncarnationGone(incarnationId: IncarnationId): void {
    this.#goneIncarnationIds.add(incarnationId);
    if (this.#goneIncarnationIds.size > MAX_GONE_INCARNATIONS) {
      const [oldest] = this.#goneIncarnationIds;
      this.#goneIncarnationIds.delete(oldest as IncarnationId);
    }
  }

  /**
   * Stops waiting for the replies of a peer and handles its operations without it.
   *
   * @param hostId - a peer to which a message could not be delivered
   */
  handlePeerUnreachable(hostId: HostId): void {
    this.#remoteOperations.takeSentTo(hostId)
      .forEach((remoteOperation) => this.#handleNoReply(remoteOperation));
  }

  /**
   * Handles a peer message of the claim log.
   *
   * @param fromHostId - the sender
   * @param _fromIncarnationId - its process; unused, since operations name their claimer
   * @param message - a message from an authenticated peer
   * @returns whether the message belongs to the claim log
   */
  handlePeerMessage(
    fromHostId: HostId,
    _fromIncarnationId: IncarnationId,
    message: PeerMessage,
  ): boolean {
    switch (message.kind) {
      case 'claimAsk':
      case 'ticketAsk': {
        const { askId, operation, replyAddress } = message;
        const reply = (result: ClaimResult): void => this.#context.emit({
          kind: 'sendPeerMessage',
          toHostId: fromHostId,
          address: replyAddress,
          message: {
            kind: 'claimReply', askId, operation, result,
          },
        });
        if (message.kind === 'claimAsk') {
          this.#getShard(operation.key).submit(operation, reply);
        } else {
          reply(this.#applyTicket(message.accountId, message.ticket, operation));
        }
        return true;
      }
      case 'claimReply':
        this.#handleReply(message.askId, message.operation, message.result);
        return true;
      default:
        return false;
    }
  }

  /**
   * Handles the answer to a platform call.
   *
   * @param input - the answer
   * @returns whether the call was made by the claim log
   */
  handleKeyValueAnswer({ operationId, answer }: KeyValueAnsweredInput): boolean {
    return [...this.#shards.values()]
      .some((shard) => shard.handleKeyValueAnswer(operationId, answer));
  }

  /** Handles overdue replies and makes the platform calls that are due. */
  tick(): void {
    this.#remoteOperations.takeTimedOut()
      .forEach((remoteOperation) => this.#handleNoReply(remoteOperation));
    this.#shards.forEach((shard) => shard.tick());
  }

  /** @returns when {@link tick} is needed next, in monotonic milliseconds */
  getNextWakeMs(): number {
    const shardsMs = [...this.#shards.values()].map((shard) => shard.getNextWakeMs());
    return Math.min(this.#remoteOperations.getNextWakeMs(), ...shardsMs);
  }

  /** @returns the events since the last call */
  takeEvents(): ClaimEvent[] {
    const events = this.#events;
    this.#events = [];
    return events;
  }

  #getShard(claimKey: string): ClaimShard {
    const index = getShardIndex(claimKey, this.#options.shardCount);
    const known = this.#shards.get(index);
    if (known !== undefined) {
      return known;
    }
    const shard = new ClaimShard(this.#context, index, this.#options);
    this.#shards.set(index, shard);
    return shard;
  }

  #dispatch(record: ClaimRecord, operation: ClaimOperation): void {
    const { accountId, idempotencyKey } = record.request;
    const origin = parseTicket(idempotencyKey);
    if (origin?.incarnationId === this.#context.self.incarnationId) {
      this.#handleResult(operation, this.#applyTicket(accountId, idempotencyKey, operation));
      return;
    }
    const remoteOperation: RemoteOperation = {
      operation, ticket: idempotencyKey, accountId, origin,
    };
    const isSent = origin === null
      ? this.#remoteOperations
        .sendToOwner(getShardIndex(operation.key, this.#options.shardCount), remoteOperation)
      : !this.#goneIncarnationIds.has(origin.incarnationId)
        && this.#remoteOperations.sendToIssuer(remoteOperation);
    if (isSent) {
      this.#records.set(record.token, { ...record, wasSentToPeer: true });
      return;
    }
    this.#handleNoReply(remoteOperation);
  }

  #submitLocally(operation: ClaimOperation): void {
    this.#getShard(operation.key)
      .submit(operation, (result) => this.#handleResult(operation, result));
  }

  #applyTicket(accountId: AccountId, ticket: string, operation: ClaimOperation): ClaimResult {
    const isOwn = parseTicket(ticket)?.incarnationId === this.#context.self.incarnationId;
    return isOwn ? this.#ticketIssuer.apply(accountId, ticket, operation) : { kind: 'expired' };
  }

  #handleNoReply(remoteOperation: RemoteOperation): void {
    if (remoteOperation.origin === null) {
      this.#submitLocally(remoteOperation.operation);
      return;
    }
    this.#handleResult(remoteOperation.operation, { kind: 'expired' });
  }

  #handleReply(askId: string, operation: ClaimOperation, result: ClaimResult): void {
    const remoteOperation = this.#remoteOperations.take(askId);
    const isRefused = result.kind === 'unavailable';
    if (remoteOperation !== null && remoteOperation.origin === null && isRefused) {
      this.#submitLocally(operation);
      return;
    }
    this.#handleResult(operation, result);
  }

  #handleResult(operation: ClaimOperation, result: ClaimResult): void {
    const record = this.#records.get(operation.token);
    if (operation.kind !== 'claim') {
      this.#removeRecord(record);
      return;
    }
    if (record === undefined) {
      this.#releaseLateGrant(operation, result);
      return;
    }
    if (record.state !== 'pending') {
      return;
    }
    if (result.kind === 'granted') {
      this.#records.set(record.token, { ...record, state: 'granted' });
      this.#events.push({ kind: 'granted', requestId: record.request.requestId });
      return;
    }
    this.#events.push(createClaimEvent(record.request.requestId, result, {
      goneIncarnationIds: this.#goneIncarnationIds, maxRunMs: this.#options.maxRunMs,
    }));
    const isUncertain = result.kind === 'expired'
      || (result.kind === 'unavailable' && (result.isUncertain || record.wasSentToPeer));
    if (isUncertain) {
      this.#release(record);
    } else {
      this.#removeRecord(record);
    }
  }

  /** Releases a claim granted after its request was refused: nothing was or will be sent. */
  #releaseLateGrant(operation: ClaimOperation, result: ClaimResult): void {
    if (result.kind === 'granted') {
      const { key, token } = operation;
      this.#submitLocally({ kind: 'release', key, token });
    }
  }

  #closeGranted(requestId: RequestId): ClaimRecord | null {
    const token = this.#tokens.get(requestId);
    const record = token === undefined ? undefined : this.#records.get(token);
    if (record?.state !== 'granted') {
      return null;
    }
    return this.#close(record);
  }

  #release(record: ClaimRecord): void {
    const { operationKey: key, token } = record;
    this.#dispatch(this.#close(record), { kind: 'release', key, token });
  }

  #close(record: ClaimRecord): ClaimRecord {
    const closing: ClaimRecord = { ...record, state: 'closing' };
    this.#records.set(record.token, closing);
    return closing;
  }

  #removeRecord(record: ClaimRecord | undefined): void {
    if (record !== undefined) {
      this.#records.delete(record.token);
      this.#tokens.delete(record.request.requestId);
    }
  }
}
