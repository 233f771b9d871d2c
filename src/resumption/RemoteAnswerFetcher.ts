import { REFUSAL_CODE, type RefusalCode } from '../answers/REFUSAL_CODE.ts';
import type { CoreContext } from '../core/CoreContext.ts';
import type { AnswerQueriedInput } from '../core/CoreInput.ts';
import type { RequestRecord } from '../core/tables/RequestRecord.ts';
import {
  toId, type AccountId, type HostId, type RequestId,
} from '../lib/ids.ts';
import type { MemberRecord, PeerMessage } from '../peers/PeerMessage.ts';
import type { AnswerQueryMessage, AnswerReplyMessage } from './AnswerMessage.ts';
import { getRequestHostId } from './getRequestHostId.ts';

/** Options of a {@link RemoteAnswerFetcher}. */
export interface RemoteAnswerFetcherOptions {
  /** Interval between two queries while a request is in progress. */
  readonly queryPeriodMs: number;
  /** Time without a reply after which the host counts as unreachable. */
  readonly replyTimeoutMs: number;
  /** Largest number of characters of a stream in one reply. */
  readonly maxTextLength: number;
}

/** Defaults of {@link RemoteAnswerFetcherOptions}. */
export const DEFAULT_REMOTE_ANSWER_FETCHER_OPTIONS: RemoteAnswerFetcherOptions = {
  queryPeriodMs: 100,
  replyTimeoutMs: 1_000,
  maxTextLength: 65_536,
};

/** State of this host that a {@link RemoteAnswerFetcher} reads and updates. */
export interface RemoteAnswerFetcherSources {
  getMembers(): readonly MemberRecord[];
  getRequest(requestId: RequestId): Readonly<RequestRecord> | undefined;
  /** Records that a caller waits for the request's answer again. */
  recordResumed(requestId: RequestId): void;
}

interface Query {
  readonly requestId: RequestId;
  readonly accountId: AccountId;
  readonly hostId: HostId;
  readonly address: string;
  offset: number;
  nextQueryAtMs: number;
  lastReplyAtMs: number;
}

/**
 * Fetches the answer of a request that another host accepted, for a caller that reconnects to this
 * host. The other host keeps no state about it: each query names the offset, so that lost and
 * repeated messages do no harm.
 */
export class RemoteAnswerFetcher {
  readonly #context: CoreContext;

  readonly #sources: RemoteAnswerFetcherSources;

  readonly #options: RemoteAnswerFetcherOptions;

  readonly #queries = new Map<RequestId, Query>();

  /**
   * @param context - provides the time and sends messages
   * @param sources - provides the members and this host's requests
   * @param options - overrides of the defaults
   */
  constructor(
    context: CoreContext,
    sources: RemoteAnswerFetcherSources,
    options: Partial<RemoteAnswerFetcherOptions> = {},
  ) {
    this.#context = context;
    this.#sources = sources;
    this.#options = { ...DEFAULT_REMOTE_ANSWER_FETCHER_OPTIONS, ...options };
  }

  /**
   * Starts to fetch an answer; its chunks and the final answer are emitted under the request id.
   *
   * @param input - the request and the caller's account
   */
  query({ requestId, accountId }: AnswerQueriedInput): void {
    const hostId = getRequestHostId(requestId);
    const member = this.#sources.getMembers().find((each) => each.hostId === hostId);
    const nowMs = this.#context.getNowMs();
    if (member === undefined || member.state === 'dead') {
      const detail = 'The host that accepted the request is gone';
      this.#refuse(requestId, REFUSAL_CODE.requestUnknown, detail);
      return;
    }
    this.#queries.set(requestId, {
      requestId,
      accountId,
      hostId,
      address: member.peerAddress,
      offset: 0,
      nextQueryAtMs: nowMs,
      lastReplyAtMs: nowMs,
    });
    this.tick();
  }

  /**
   * Cancels the query of a caller that disconnected.
   *
   * @param requestId - the request; ignored when there is no query for it
   */
  cancelQuery(requestId: RequestId): void {
    this.#queries.delete(requestId);
  }

  /**
   * Handles a message of a peer.
   *
   * @param fromHostId - the sender
   * @param message - the message; ignored unless it is a query for an answer or a reply
   */
  handlePeerMessage(fromHostId: HostId, message: PeerMessage): void {
    if (message.kind === 'answerAsk') {
      this.#reply(fromHostId, message);
    } else if (message.kind === 'answerReply') {
      this.#applyReply(fromHostId, message);
    }
  }

  /** Sends due queries, and gives up on hosts that do not reply. */
  tick(): void {
    const nowMs = this.#context.getNowMs();
    this.#queries.forEach((query) => {
      if (nowMs >= query.lastReplyAtMs + this.#options.replyTimeoutMs) {
        this.#queries.delete(query.requestId);
        const detail = `Host ${query.hostId} accepted the request but does not reply`;
        this.#refuse(query.requestId, REFUSAL_CODE.outcomeUnknown, detail);
      } else if (nowMs >= query.nextQueryAtMs) {
        query.nextQueryAtMs = nowMs + this.#options.queryPeriodMs;
        this.#sendQuery(query);
      }
    });
  }

  /**
   * @returns when the next tick is due; Infinity for never
   */
  getNextWakeMs(): number {
    const wakesMs = [...this.#queries.values()].map(({ nextQueryAtMs, lastReplyAtMs }) => (
      Math.min(nextQueryAtMs, lastReplyAtMs + this.#options.replyTimeoutMs)
    ));
    return Math.min(Infinity, ...wakesMs);
  }

  #sendQuery(query: Query): void {
    this.#context.emit({
      kind: 'sendPeerMessage',
      toHostId: query.hostId,
      address: query.address,
      message: {
        kind: 'answerAsk',
        requestId: query.requestId,
        accountId: query.accountId,
        replyAddress: this.#context.self.peerAddress,
        fromOffset: query.offset,
      },
    });
  }

  #reply(toHostId: HostId, query: AnswerQueryMessage): void {
    const request = this.#sources.getRequest(query.requestId);
    const isKnown = request !== undefined && request.accountId === query.accountId;
    const text = isKnown ? request.streamedText : '';
    if (isKnown) {
      this.#sources.recordResumed(query.requestId);
    }
    this.#context.emit({
      kind: 'sendPeerMessage',
      toHostId,
      address: query.replyAddress,
      message: {
        kind: 'answerReply',
        requestId: query.requestId,
        isKnown,
        offset: query.fromOffset,
        text: text.slice(query.fromOffset, query.fromOffset + this.#options.maxTextLength),
        answer: isKnown ? request.answer : null,
      },
    });
  }

  #applyReply(fromHostId: HostId, reply: AnswerReplyMessage): void {
    const query = this.#queries.get(reply.requestId);
    if (query === undefined || query.hostId !== fromHostId) {
      return;
    }
    query.lastReplyAtMs = this.#context.getNowMs();
    if (!reply.isKnown) {
      this.#queries.delete(query.requestId);
      const detail = 'The request is unknown, or its answer is no longer stored';
      this.#refuse(query.requestId, REFUSAL_CODE.requestUnknown, detail);
      return;
    }
    this.#emitNewText(query, reply);
    if (reply.answer !== null) {
      const { requestId, answer } = reply;
      this.#queries.delete(requestId);
      this.#context.emit({ kind: 'answerRequest', requestId, answer });
    }
  }

  #emitNewText(query: Query, { requestId, offset, text }: AnswerReplyMessage): void {
    const newText = offset > query.offset ? '' : text.slice(query.offset - offset);
    if (newText === '') {
      return;
    }
    this.#context.emit({
      kind: 'answerChunk', requestId, offset: query.offset, text: newText,
    });
    query.offset += newText.length;
  }

  #refuse(requestId: RequestId, code: RefusalCode, detail: string): void {
    const canRetry = code === REFUSAL_CODE.outcomeUnknown;
    this.#context.emit({
      kind: 'answerRequest',
      requestId: toId(requestId),
      answer: {
        kind: 'refused',
        code,
        // The request may have been executed by the host that can't be queried.
        notRun: false,
        retryAfterMs: canRetry ? this.#options.replyTimeoutMs : null,
        detail,
        costMicros: 0,
        stages: [],
      },
    });
  }
}
