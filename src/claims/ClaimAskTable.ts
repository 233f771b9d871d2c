import type { CoreContext } from '../core/CoreContext.ts';
import type { AccountId, HostId } from '../lib/ids.ts';
import type { ClaimMember, ClaimOwners } from './ClaimManager.ts';
import type { ClaimOperation } from './ClaimOperation.ts';
import type { ClaimOptions } from './ClaimOptions.ts';
import type { TicketOrigin } from './TicketMint.ts';

/** An operation that a peer is asked to carry out. */
export interface ClaimAsk {
  readonly operation: ClaimOperation;
  readonly accountId: AccountId;
  /** The request's idempotency key, which is the ticket's text when `origin` is set. */
  readonly ticket: string;
  /** Null for a claim of the platform's log. */
  readonly origin: TicketOrigin | null;
}

interface SentAsk {
  readonly ask: ClaimAsk;
  readonly member: ClaimMember;
  readonly firstSentAtMs: number;
  readonly sentAtMs: number;
}

/** The operations that peers were asked to carry out and have not answered yet. */
export class ClaimAskTable {
  readonly #context: CoreContext;

  readonly #options: ClaimOptions;

  readonly #avoidedUntilMs = new Map<HostId, number>();

  /** In the order of sending, so that the first is the next to time out. */
  readonly #sent = new Map<string, SentAsk>();

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
  askOwner(shardIndex: number, ask: ClaimAsk): boolean {
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
  askMint(ask: ClaimAsk): boolean {
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
  take(askId: string): ClaimAsk | null {
    const sent = this.#sent.get(askId);
    this.#sent.delete(askId);
    return sent?.ask ?? null;
  }

  /**
   * @param hostId - a host that can't be reached
   * @returns what it was asked, no longer waited for
   */
  takeAsksTo(hostId: HostId): ClaimAsk[] {
    this.#avoid(hostId);
    const sent = [...this.#sent].filter(([, { member }]) => member.hostId === hostId);
    sent.forEach(([askId]) => this.#sent.delete(askId));
    return sent.map(([, { ask }]) => ask);
  }

  /**
   * Sends again what a ticket's mint did not answer yet.
   *
   * @returns what was not answered in time, no longer waited for
   */
  takeTimedOut(): ClaimAsk[] {
    const nowMs = this.#context.getNowMs();
    const { askTimeoutMs, claimTimeoutMs } = this.#options;
    if (nowMs < this.getNextWakeMs()) {
      return [];
    }
    const due = [...this.#sent].filter(([, { sentAtMs }]) => nowMs >= sentAtMs + askTimeoutMs);
    due.forEach(([askId]) => this.#sent.delete(askId));
    const isRepeated = ({ ask, firstSentAtMs }: SentAsk): boolean => (
      ask.origin !== null && nowMs < firstSentAtMs + claimTimeoutMs
    );
    const timedOut = due.map(([, sent]) => sent).filter((sent) => !isRepeated(sent));
    due.map(([, sent]) => sent)
      .filter(isRepeated)
      .forEach(({ ask, member, firstSentAtMs }) => this.#send(ask, member, firstSentAtMs));
    timedOut.forEach(({ member }) => this.#avoid(member.hostId));
    return timedOut.map(({ ask }) => ask);
  }

  /** @returns when the next ask times out, in monotonic milliseconds */
  getNextWakeMs(): number {
    const first = this.#sent.values().next().value;
    return first === undefined ? Infinity : first.sentAtMs + this.#options.askTimeoutMs;
  }

  #avoid(hostId: HostId): void {
    this.#avoidedUntilMs.set(hostId, this.#context.getNowMs() + this.#options.ownerAvoidanceMs);
  }

  #send(ask: ClaimAsk, member: ClaimMember, firstSentAtMs: number): void {
    const {
      operation, origin, accountId, ticket,
    } = ask;
    const askId = `${operation.kind}:${operation.token}`;
    const sentAtMs = this.#context.getNowMs();
    this.#sent.delete(askId);
    this.#sent.set(askId, {
      ask, member, firstSentAtMs, sentAtMs,
    });
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
