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

/** Options of the questions for answers. */
export interface RemoteAnswerFetcherOptions {
  /** Time between two questions while a request runs. */
  readonly queryPeriodMs: number;
  /** Time without any reply after which the host counts as out of reach. */
  readonly replyTimeoutMs: number;
  /** Characters of a running stream in one reply. */
  readonly maxTextLength: number;
}

/** Defaults of the questions for answers. */
export const DEFAULT_REMOTE_ANSWER_FETCHER_OPTIONS: RemoteAnswerFetcherOptions = {
  queryPeriodMs: 100,
  replyTimeoutMs: 1_000,
  maxTextLength: 65_536,
};

/** What the manager reads of its host. */
export interface RemoteAnswerFetcherSources {
  getMembers(): readonly MemberRecord[];
  getRequest(requestId: RequestId): Readonly<RequestRecord> | undefined;
  /** A caller waits for the request's answer again. */
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
 * Fetches the answer of a request that another host took, for a caller that comes back here. The
 * other host keeps nothing about it: each question names the offset, so that lost and repeated
 * messages do no harm.
 */
export class RemoteAnswerFetcher {
  readonly #context: CoreContext;

  readonly #sources: RemoteAnswerFetcherSources;

  readonly #options: RemoteAnswerFetcherOptions;

  readonly #queries = new Map<RequestId, Query>();

  /**
   * @param context - time and the way out
   * @param sources - the members and this host's requests
   * @param options - what differs from the defaults
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
   * Starts to fetch an answer; chunks and the answer are emitted under the request's id.
   *
   * @param input - the request, and who asks
   */
  query({ requestId, accountId }: AnswerQueriedInput): void {
    const hostId = getRequestHostId(requestId);
    const member = this.#sources.getMembers().find((each) => each.hostId === hostId);
    const nowMs = this.#context.getNowMs();
    if (member === undefined || member.state === 'dead') {
      const detail = 'The host that took the request is gone';
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
   * Ends a question whose caller went away.
   *
   * @param requestId - the request; one that is not asked for is passed over
   */
  cancelQuery(requestId: RequestId): void {
    this.#queries.delete(requestId);
  }

  /**
   * @param fromHostId - the sender
   * @param message - any message of a peer; others than questions and answers are passed over
   */
  handlePeerMessage(fromHostId: HostId, message: PeerMessage): void {
    if (message.kind === 'answerAsk') {
      this.#reply(fromHostId, message);
    } else if (message.kind === 'answerReply') {
      this.#applyReply(fromHostId, message);
    }
  }

  /** Asks again where it is due, and gives up on hosts that do not answer. */
  tick(): void {
    const nowMs = this.#context.getNowMs();
    this.#queries.forEach((query) => {
      if (nowMs >= query.lastReplyAtMs + this.#options.replyTimeoutMs) {
        this.#queries.delete(query.requestId);
        const detail = `Host ${query.hostId} took the request and does not answer`;
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
    const wakesMs = [...this.#queries.values()].map(({ nextQueryAtMs: nextAskAtMs, lastReplyAtMs }) => (
      Math.min(nextAskAtMs, lastReplyAtMs + this.#options.replyTimeoutMs)
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

  #reply(toHostId: HostId, ask: AnswerQueryMessage): void {
    const request = this.#sources.getRequest(ask.requestId);
    const isKnown = request !== undefined && request.accountId === ask.accountId;
    const text = isKnown ? request.streamedText : '';
    if (isKnown) {
      this.#sources.recordResumed(ask.requestId);
    }
    this.#context.emit({
      kind: 'sendPeerMessage',
      toHostId,
      address: ask.replyAddress,
      message: {
        kind: 'answerReply',
        requestId: ask.requestId,
        isKnown,
        offset: ask.fromOffset,
        text: text.slice(ask.fromOffset, ask.fromOffset + this.#options.maxTextLength),
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
      const detail = 'The request is not known, or its answer was forgotten';
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
    const fresh = offset > query.offset ? '' : text.slice(query.offset - offset);
    if (fresh === '') {
      return;
    }
    this.#context.emit({
      kind: 'answerChunk', requestId, offset: query.offset, text: fresh,
    });
    query.offset += fresh.length;
  }

  #refuse(requestId: RequestId, code: RefusalCode, detail: string): void {
    const canComeBack = code === REFUSAL_CODE.outcomeUnknown;
    this.#context.emit({
      kind: 'answerRequest',
      requestId: toId(requestId),
      answer: {
        kind: 'refused',
        code,
        // The request may have run at the host that can't be asked.
        notRun: false,
        retryAfterMs: canComeBack ? this.#options.replyTimeoutMs : null,
        detail,
        costMicros: 0,
        stages: [],
      },
    });
  }
}
