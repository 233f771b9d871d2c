import type { Dispatcher } from 'undici';
import type { CallerRequest } from '../ingress/CallerRequest.ts';
import type { AnswerHead, AttemptDetails, UpstreamProtocol } from './UpstreamProtocol.ts';

/** How an attempt ended. */
export type AttemptResult =
  /** The whole answer has been passed to the receiver. */
  | { readonly kind: 'complete' }
  /** No byte of the request was handed to a connection. */
  | { readonly kind: 'notSent'; readonly detail: string }
  /** It may have run; what came back, if anything, is no whole answer. */
  | {
    readonly kind: 'broken';
    readonly detail: string;
    /** Whether this host ended it; otherwise the connection broke. */
    readonly isAborted: boolean;
  };

/** Decides on an attempt's bytes at the last moment, and gets the parts of its answer. */
export interface AnswerReceiver {
  /** @returns whether the upstream may still get it; asked when a connection is free for it */
  mayStart(): boolean;
  /** @param head - the answer's head, once */
  onHead(head: AnswerHead): void;
  /** @param chunk - bytes of the body */
  onData(chunk: Buffer): void;
  /** @param end - how it ended, once and last */
  onEnd(end: AttemptResult): void;
}

/** An attempt that is out. */
export interface RunningAttempt {
  /** Ends the attempt by closing its connection; the receiver hears `broken` or `notSent`. */
  abort(reason: string): void;
  /** Reads no further until `resume`. */
  pause(): void;
  /** Reads on. */
  resume(): void;
}

const LOWEST_FINAL_STATUS = 200;
const LOWEST_ERROR_STATUS = 400;

/** A success has to name its request; a refusal need not, when the upstream could not read one. */
function isAnswerTo(requestId: string, head: AnswerHead): boolean {
  return head.requestId === requestId
    || (head.requestId === null && head.status >= LOWEST_ERROR_STATUS);
}

/** One exchange with an upstream; the request's bytes are handed to a connection once at most. */
class Attempt implements RunningAttempt, Dispatcher.DispatchHandler {
  readonly #requestId: string;

  readonly #protocol: UpstreamProtocol;

  readonly #receiver: AnswerReceiver;

  #controller: Dispatcher.DispatchController | null = null;

  #abortReason: string | null = null;

  #isSent = false;

  #hasEnded = false;

  constructor(requestId: string, protocol: UpstreamProtocol, receiver: AnswerReceiver) {
    this.#requestId = requestId;
    this.#protocol = protocol;
    this.#receiver = receiver;
  }

  abort(reason: string): void {
    this.#abortReason ??= reason;
    if (this.#controller !== null) {
      this.#controller.abort(new Error(reason));
    }
    this.#endWithoutAnswer(reason);
  }

  pause(): void {
    this.#controller?.pause();
  }

  resume(): void {
    this.#controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#isSent) {
      controller.abort(new Error('the request was handed over before'));
      return;
    }
    if (!this.#receiver.mayStart()) {
      this.#abortReason ??= 'the upstream has closed while the attempt waited for a connection';
    }
    if (this.#abortReason !== null) {
      controller.abort(new Error(this.#abortReason));
      return;
    }
    this.#isSent = true;
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (status < LOWEST_FINAL_STATUS || this.#hasEnded) {
      return;
    }
    const rawHeaders = (controller.rawHeaders ?? []) as readonly (Buffer | string)[];
    const texts = rawHeaders.map((text) => text.toString('latin1'));
    const head = this.#protocol.decodeAnswerHead(status, texts);
    if (!isAnswerTo(this.#requestId, head)) {
      this.abort(`the answer belongs to request ${head.requestId ?? '(none)'}`);
      return;
    }
    this.#receiver.onHead(head);
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.#hasEnded) {
      this.#receiver.onData(chunk);
    }
  }

  onResponseEnd(): void {
    this.#end({ kind: 'complete' });
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.#endWithoutAnswer(this.#abortReason ?? error.message);
  }

  #endWithoutAnswer(detail: string): void {
    const isAborted = this.#abortReason !== null;
    this.#end(this.#isSent ? { kind: 'broken', detail, isAborted } : { kind: 'notSent', detail });
  }

  #end(end: AttemptResult): void {
    if (!this.#hasEnded) {
      this.#hasEnded = true;
      this.#receiver.onEnd(end);
    }
  }
}

/**
 * Sends a caller's request to an upstream.
 *
 * @param connections - the upstream's connections
 * @param protocol - how it is written down
 * @param request - the caller's request
 * @param details - what is set for this upstream
 * @param receiver - gets the answer
 * @returns the attempt
 */
export function sendAttempt(
  connections: Dispatcher,
  protocol: UpstreamProtocol,
  request: CallerRequest,
  details: AttemptDetails,
  receiver: AnswerReceiver,
): RunningAttempt {
  const attempt = new Attempt(request.profile.id, protocol, receiver);
  connections.dispatch({
    path: request.path,
    method: request.method,
    headers: protocol.encodeAttempt(request, details),
    body: request.body.length > 0 ? request.body : null,
    // undici sends idempotent methods again under conditions of its own when this is left out.
    idempotent: false,
  }, attempt);
  return attempt;
}
