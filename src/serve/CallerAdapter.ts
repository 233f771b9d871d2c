import { createHash } from 'node:crypto';
import type { AnswerListener, CallerPort, RequestSubmission } from '../callers/CallerPort.ts';
import type { ConfigurationRecord } from '../configuration/records/ConfigurationRecord.ts';
import type { CoreInput } from '../core/CoreInput.ts';
import type { RequestRecord } from '../core/tables/RequestRecord.ts';
import {
  toId, type AccountId, type IdempotencyKey, type RequestId,
} from '../lib/ids.ts';
import type { RandomSource } from '../lib/RandomSource.ts';
import { createRequestId } from '../resumption/createRequestId.ts';
import { getRequestHostId } from '../resumption/getRequestHostId.ts';
import type { AnswerListeners } from './AnswerListeners.ts';
import type { HostTracer } from './HostTracer.ts';

/** Options of {@link CallerAdapter}. */
export interface CallerAdapterOptions {
  readonly hostId: string;
  readonly random: RandomSource;
  readonly listeners: AnswerListeners;
  readonly tracer: HostTracer;
  readonly post: (input: CoreInput) => void;
  readonly getRequest: (requestId: RequestId) => Readonly<RequestRecord> | undefined;
  readonly createTicket: (accountId: AccountId) => IdempotencyKey;
  readonly isReady: () => boolean;
}

/** Connects the HTTP routes for callers to the core. */
export class CallerAdapter implements CallerPort {
  readonly #options: CallerAdapterOptions;

  readonly #accountIds = new Map<string, AccountId>();

  /**
   * @param options - see {@link CallerAdapterOptions}
   */
  constructor(options: CallerAdapterOptions) {
    this.#options = options;
  }

  /**
   * Replaces the accounts and their keys.
   *
   * @param configuration - the configuration in force
   */
  setConfiguration(configuration: ConfigurationRecord): void {
    this.#accountIds.clear();
    configuration.accounts.forEach(({ id, keySha256 }) => {
      this.#accountIds.set(keySha256, toId<AccountId>(id));
    });
  }

  /** @inheritdoc */
  getAccountId(callerKey: string): AccountId | null {
    // A lookup by digest reveals nothing about the key through its timing.
    const digest = createHash('sha256').update(callerKey).digest('hex');
    return this.#accountIds.get(digest) ?? null;
  }

  /** @inheritdoc */
  submit(submission: RequestSubmission, listener: AnswerListener): RequestId {
    const {
      hostId, random, listeners, tracer, post,
    } = this.#options;
    const requestId = createRequestId(hostId, random.getHexId());
    const traceparent = tracer.startRequest(requestId, submission);
    listeners.add(requestId, listener);
    post({
      kind: 'requestSubmitted', requestId, ...submission, traceparent,
    });
    return requestId;
  }

  /** @inheritdoc */
  async resume(
    requestId: RequestId,
    accountId: AccountId,
    listener: AnswerListener,
  ): Promise<boolean> {
    const acceptingHostId = getRequestHostId(requestId);
    if (acceptingHostId !== '' && acceptingHostId !== this.#options.hostId) {
      this.#options.listeners.add(requestId, listener);
      this.#options.post({ kind: 'answerQueried', requestId, accountId });
      return true;
    }
    const request = this.#options.getRequest(requestId);
    if (request === undefined || request.accountId !== accountId) {
      return false;
    }
    if (request.answer !== null) {
      listener.onAnswer(request.answer);
      return true;
    }
    if (request.streamedText !== '') {
      listener.onChunk(0, request.streamedText);
    }
    this.#options.listeners.add(requestId, listener);
    this.#options.post({ kind: 'requestResumed', requestId });
    return true;
  }

  /** @inheritdoc */
  createTicket(accountId: AccountId): IdempotencyKey {
    return this.#options.createTicket(accountId);
  }

  /** @inheritdoc */
  handleCallerGone(requestId: RequestId, listener: AnswerListener): void {
    if (this.#options.listeners.remove(requestId, listener)) {
      this.#options.post({ kind: 'requestAbandoned', requestId });
    }
  }

  /** @inheritdoc */
  isReady(): boolean {
    return this.#options.isReady();
  }
}
