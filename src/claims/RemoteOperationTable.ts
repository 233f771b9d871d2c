import type { CoreContext } from '../core/CoreContext.ts';
import { DueQueue } from '../core/DueQueue.ts';
import type { AccountId, HostId } from '../lib/ids.ts';
import type { ClaimMember, ClaimOwners } from './ClaimManager.ts';
import type { ClaimOperation } from './ClaimOperation.ts';
import type { ClaimOptions } from './ClaimOptions.ts';
import type { TicketOrigin } from './TicketIssuer.ts';

/** An operation that a peer is asked to carry out. */
export interface RemoteOperation {
  readonly operation: ClaimOperation;
  readonly accountId: AccountId;
  /** The request's idempotency key, which is the ticket's text when `origin` is set. */
  readonly ticket: string;
  /** Null for a claim of the platform's log. */
  readonly origin: TicketOrigin | null;
}

interface PendingOperation {
  readonly remoteOperation: RemoteOperation;
  readonly member: ClaimMember;
  readonly firstSentAtMs: number;
  readonly timesOutAtMs: number;
}

/** The operations that peers were asked to carry out and have not answered yet. */
export class RemoteOperationTable {
  readonly #context: CoreContext;

  readonly #options: ClaimOptions;

  readonly #avoidedUntilMs = new Map<HostId, number>();

  readonly #pending = new Map<string, PendingOperation>();

  readonly #timeouts = new DueQueue<string>();

  #members = new Map<HostId, ClaimMember>();

  #ownerHostIds: readonly (HostId | null)[] = [];

  /**
   * @param context - time and the way to peers
   * @param options - settings of the claim log
   */
  constructor(context: CoreContext, options: ClaimOptions) {
    this.#context = context;
    this.#options = options;
  }

  /**
   * @param owners - the members and the owner of each shard
   */
  setOwners(owners: ClaimOwners): void {
    this.#members = new Map(owners.members.map((member) => [member.hostId, member]));
    this.#ownerHostIds = owners.ownerHostIds;
  }

  /**
   * @param shardIndex - the shard of the operation's key
   * @param ask - the operation
   * @returns false when this host has to write by itself
   */
  sendToOwner(shardIndex: number, ask: RemoteOperation): boolean {
    const ownerHostId = this.#ownerHostIds[shardIndex] ?? null;
    const member = ownerHostId === null ? undefined : this.#members.get(ownerHostId);
    if (member === undefined || member.hostId === this.#context.self.hostId) {
      return false;
    }
    if ((this.#avoidedUntilMs.get(member.hostId) ?? 0) > this.#context.getNowMs()) {
      return false;
    }
    this.#send(ask, member, this.#context.getNowMs());
    return true;
  }

  /**
   * @param ask - an operation on a ticket of another incarnation
   * @returns false when that incarnation is not among the members
   */
  sendToIssuer(ask: RemoteOperation): boolean {
    const member = ask.origin === null ? undefined : this.#members.get(ask.origin.hostId);
    if (member === undefined || member.incarnationId !== ask.origin?.incarnationId) {
      return false;
    }
    this.#send(ask, member, this.#context.getNowMs());
    return true;
  }

  /**
   * @param askId - of a reply
   * @returns what was asked, no longer waited for; null when nothing waits under this id
   */
  take(askId: string): RemoteOperation | null {
    const sent = this.#pending.get(askId);
    this.#pending.delete(askId);
    return sent?.remoteOperation ?? null;
  }

  /**
   * @param hostId - a host that can't be reached
   * @returns what it was asked, no longer waited for
   */
  takeSentTo(hostId: HostId): RemoteOperation[] {
    this.#avoid(hostId);
    const sent = [...this.#pending].filter(([, { member }]) => member.hostId === hostId);
    sent.forEach(([askId]) => this.#pending.delete(askId));
    return sent.map(([, { remoteOperation: ask }]) => ask);
  }

  /**
   * Sends again what a ticket's mint did not answer yet.
   *
   * @returns what was not answered in time, no longer waited for
   */
  takeTimedOut(): RemoteOperation[] {
    const nowMs = this.#context.getNowMs();
    const due = this.#takeDue(nowMs);
    const isRepeated = ({ remoteOperation: ask, firstSentAtMs }: PendingOperation): boolean => (
      ask.origin !== null && nowMs < firstSentAtMs + this.#options.claimTimeoutMs
    );
    const timedOut = due.filter((sent) => !isRepeated(sent));
    due.filter(isRepeated)
      .forEach(({ remoteOperation: ask, member, firstSentAtMs }) => this.#send(ask, member, firstSentAtMs));
    timedOut.forEach(({ member }) => this.#avoid(member.hostId));
    return timedOut.map(({ remoteOperation: ask }) => ask);
  }

  /** @returns when the next ask times out, in monotonic milliseconds */
  getNextWakeMs(): number {
    return this.#timeouts.getNextWakeMs();
  }

  #takeDue(nowMs: number): PendingOperation[] {
    const due: PendingOperation[] = [];
    let askId = this.#timeouts.takeDue(nowMs);
    while (askId !== null) {
      const sent = this.#pending.get(askId);
      // An answered ask, or one that was sent again since, leaves its old entry in the queue.
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

  #send(ask: RemoteOperation, member: ClaimMember, firstSentAtMs: number): void {
    const {
      operation, origin, accountId, ticket,
    } = ask;
    const askId = `${operation.kind}:${operation.token}`;
    const isClaim = operation.kind === 'claim' || origin !== null;
    const { ownerReplyTimeoutMs: askTimeoutMs, outcomeReplyTimeoutMs: outcomeAskTimeoutMs } = this.#options;
    const timesOutAtMs = this.#context.getNowMs() + (isClaim ? askTimeoutMs : outcomeAskTimeoutMs);
    this.#pending.set(askId, {
      remoteOperation: ask, member, firstSentAtMs, timesOutAtMs,
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
