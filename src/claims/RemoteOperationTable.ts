import type { CoreContext } from '../core/CoreContext.ts';
import { DueQueue } from '../core/DueQueue.ts';
import type { AccountId, HostId } from '../lib/ids.ts';
import type { ClaimMember, ClaimOwners } from './ClaimOwners.ts';
import type { ClaimOperation } from './ClaimOperation.ts';
import type { ClaimOptions } from './ClaimOptions.ts';
import type { TicketOrigin } from './TicketIssuer.ts';

/** Operation that this host requests from a peer. */
export interface RemoteOperation {
  readonly operation: ClaimOperation;
  readonly accountId: AccountId;
  /** The request's idempotency key, which is the ticket's text when `origin` is set. */
  readonly ticket: string;
  /** Issuer of the ticket; null for a key that is claimed in the platform's log. */
  readonly origin: TicketOrigin | null;
}

interface PendingOperation {
  readonly remoteOperation: RemoteOperation;
  readonly member: ClaimMember;
  readonly firstSentAtMs: number;
  readonly timesOutAtMs: number;
}

/** Operations that were sent to peers and are waiting for their replies. */
export class RemoteOperationTable {
  readonly #context: CoreContext;

  readonly #options: ClaimOptions;

  readonly #avoidedUntilMs = new Map<HostId, number>();

  readonly #pending = new Map<string, PendingOperation>();

  readonly #timeouts = new DueQueue<string>();

  #members = new Map<HostId, ClaimMember>();

  #ownerHostIds: readonly (HostId | null)[] = [];

  /**
   * @param context - clock and output for messages to peers
   * @param options - settings of the claim log
   */
  constructor(context: CoreContext, options: ClaimOptions) {
    this.#context = context;
    this.#options = options;
  }

  /**
   * Replaces the members and the shard owners.
   *
   * @param owners - the members and the owner of each shard
   */
  setOwners(owners: ClaimOwners): void {
    this.#members = new Map(owners.members.map((member) => [member.hostId, member]));
    this.#ownerHostIds = owners.ownerHostIds;
  }

  /**
   * Sends an operation to the owner of its shard.
   *
   * @param shardIndex - the shard of the operation's key
   * @param remoteOperation - the operation
   * @returns false when no other available host owns the shard, so that this host must write
   */
  sendToOwner(shardIndex: number, remoteOperation: RemoteOperation): boolean {
    const ownerHostId = this.#ownerHostIds[shardIndex] ?? null;
    const member = ownerHostId === null ? undefined : this.#members.get(ownerHostId);
    if (member === undefined || member.hostId === this.#context.self.hostId) {
      return false;
    }
    if ((this.#avoidedUntilMs.get(member.hostId) ?? 0) > this.#context.getNowMs()) {
      return false;
    }
    this.#send(remoteOperation, member, this.#context.getNowMs());
    return true;
  }

  /**
   * Sends an operation on a ticket to the incarnation that issued the ticket.
   *
   * @param remoteOperation - an operation on a ticket of another incarnation
   * @returns false when that incarnation is not among the members
   */
  sendToIssuer(remoteOperation: RemoteOperation): boolean {
    const member = remoteOperation.origin === null
      ? undefined : this.#members.get(remoteOperation.origin.hostId);
    if (member === undefined || member.incarnationId !== remoteOperation.origin?.incarnationId) {
      return false;
    }
    this.#send(remoteOperation, member, this.#context.getNowMs());
    return true;
  }

  /**
   * Removes the operation that a reply belongs to.
   *
   * @param askId - the `askId` of the reply
   * @returns the removed operation; null when none is pending under this id
   */
  take(askId: string): RemoteOperation | null {
    const sent = this.#pending.get(askId);
    this.#pending.delete(askId);
    return sent?.remoteOperation ?? null;
  }

  /**
   * Removes all operations sent to an unreachable host, and avoids that host for a time.
   *
   * @param hostId - the host that can't be reached
   * @returns the removed operations
   */
  takeSentTo(hostId: HostId): RemoteOperation[] {
    this.#avoid(hostId);
    const sent = [...this.#pending].filter(([, { member }]) => member.hostId === hostId);
    sent.forEach(([askId]) => this.#pending.delete(askId));
    return sent.map(([, { remoteOperation }]) => remoteOperation);
  }

  /**
   * Sends ticket operations whose reply is late again, until `claimTimeoutMs` has passed.
   *
   * @returns the operations that timed out, which are removed
   */
  takeTimedOut(): RemoteOperation[] {
    const nowMs = this.#context.getNowMs();
    const due = this.#takeDue(nowMs);
    const isRepeated = ({ remoteOperation, firstSentAtMs }: PendingOperation): boolean => (
      remoteOperation.origin !== null && nowMs < firstSentAtMs + this.#options.claimTimeoutMs
    );
    const timedOut = due.filter((sent) => !isRepeated(sent));
    due.filter(isRepeated)
      .forEach(({ remoteOperation, member, firstSentAtMs }) => (
        this.#send(remoteOperation, member, firstSentAtMs)));
    timedOut.forEach(({ member }) => this.#avoid(member.hostId));
    return timedOut.map(({ remoteOperation }) => remoteOperation);
  }

  /** @returns when the next operation times out, in monotonic milliseconds */
  getNextWakeMs(): number {
    return this.#timeouts.getNextWakeMs();
  }

  #takeDue(nowMs: number): PendingOperation[] {
    const due: PendingOperation[] = [];
    let askId = this.#timeouts.takeDue(nowMs);
    while (askId !== null) {
      const sent = this.#pending.get(askId);
      // An answered operation and one that was sent again leave their old entries in the queue.
      if (sent !== undefined && sent.timesOutAtMs <= nowMs) {
        this.#pending.delete(askId);
        due.push(sent);
      }
      askId = this.#timeouts.takeDue(nowMs);
    }
    return due;
  }

  #avoid(hostId: HostId): void {
    this.#avoidedUntilMs.set(hostId, this.#context.getNowMs() + this.#options.ownerAvoidanceMs);
  }

  #send(remoteOperation: RemoteOperation, member: ClaimMember, firstSentAtMs: number): void {
    const {
      operation, origin, accountId, ticket,
    } = remoteOperation;
    const askId = `${operation.kind}:${operation.token}`;
    const isClaim = operation.kind === 'claim' || origin !== null;
    const { ownerReplyTimeoutMs, outcomeReplyTimeoutMs } = this.#options;
    const timesOutAtMs = this.#context.getNowMs()
      + (isClaim ? ownerReplyTimeoutMs : outcomeReplyTimeoutMs);
    this.#pending.set(askId, {
      remoteOperation, member, firstSentAtMs, timesOutAtMs,
    });
    this.#timeouts.add(askId, timesOutAtMs);
    const replyAddress = this.#context.self.peerAddress;
    const common = { askId, replyAddress, operation };
    this.#context.emit({
      kind: 'sendPeerMessage',
      toHostId: member.hostId,
      address: member.address,
      message: origin === null
        ? { kind: 'claimAsk', ...common }
        : {
          kind: 'ticketAsk', ...common, accountId, ticket,
        },
    });
  }
}
