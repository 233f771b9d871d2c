import type { Dispatcher } from 'undici';
import type { CallerRequest } from '../ingress/CallerRequest.ts';
import { HIGHEST_STATUS } from '../upstreams/HIGHEST_STATUS.ts';
import { Upload } from '../upstreams/Upload.ts';
import { isFramed } from './isFramed.ts';
import { isRefusalStatus } from './isRefusalStatus.ts';
import type { AnswerHead, AttemptDetails, UpstreamProtocol } from './UpstreamProtocol.ts';

/** Result of an attempt. */
export type AttemptResult =
  /** The receiver has the answer; without a mark, the upstream may have ended it early. */
  | { readonly kind: 'complete'; readonly isEndMarked: boolean }
  /** No byte of the request was passed to a connection. */
  | { readonly kind: 'notSent'; readonly detail: string }
  /** The request may have run, but no complete answer arrived. */
  | {
    readonly kind: 'broken';
    readonly detail: string;
    /** Whether this host aborted the attempt; otherwise the connection failed. */
    readonly isAborted: boolean;
  };

/** Approves an attempt just before it is sent and receives its answer. */
export interface AnswerReceiver {
  /** @returns whether the request may still be sent; called when a connection is available */
  mayStart(): boolean;
  /** @param head - the head of the answer; called at most once */
  onHead(head: AnswerHead): void;
  /** @param chunk - bytes of the body */
  onData(chunk: Buffer): void;
  /**
   * Asked when an answer ends without a mark, which also happens when its upstream ends.
   *
   * @returns whether the upstream has ended the answer
   */
  checkUnmarkedEnd(): Promise<boolean>;
  /** @param end - the result of the attempt; called once, after all other methods */
  onEnd(end: AttemptResult): void;
}

/** An attempt that has not ended. */
export interface RunningAttempt {
  /** Closes the connection of the attempt; the receiver gets `broken` or `notSent`. */
  abort(reason: string): void;
  /** Stops reading the answer until `resume`. */
  pause(): void;
  /** Continues reading the answer. */
  resume(): void;
}

const LOWEST_FINAL_STATUS = 200;
const LOWEST_ERROR_STATUS = 400;

/**
 * Whether an answer belongs to a request. An error need not name it, as the upstream may not have
 * read it. A refusal must: on a connection in use again it may be that of an earlier request, while
 * the upstream runs this one.
 */
function isAnswerTo(requestId: string, head: AnswerHead): boolean {
  return head.requestId === requestId
    || (head.requestId === null && head.status >= LOWEST_ERROR_STATUS && !head.isNotRun
      && !isRefusalStatus(head.status));
}

/** One exchange with an upstream; passes the request to a connection at most once. */
class Attempt implements RunningAttempt, Dispatcher.DispatchHandler {
  readonly #requestId: string;

  readonly #protocol: UpstreamProtocol;

  readonly #receiver: AnswerReceiver;

  #controller: Dispatcher.DispatchController | null = null;

  #abortReason: string | null = null;

  #isSent = false;

  readonly #upload: Upload;

  /** Whether the head of the answer tells where its body ends. */
  #isFramed = true;

  /**
   * Whether a success began before the upstream can have had the request. Without a mark, its
   * connection ends with it, so that the upstream has not shown that it worked on the request.
   */
  #isEarlySuccess = false;

  #hasEnded = false;

  constructor(
    requestId: string,
    protocol: UpstreamProtocol,
    upload: Upload,
    receiver: AnswerReceiver,
  ) {
    this.#requestId = requestId;
    this.#upload = upload;
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
      controller.abort(new Error('the request was already passed to a connection'));
      return;
    }
    if (!this.#receiver.mayStart()) {
      this.#abortReason ??= 'the upstream closed while the attempt waited for a connection';
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
    if (status > HIGHEST_STATUS) {
      this.abort(`the status ${status} is not one of HTTP`);
      return;
    }
    const rawHeaders = (controller.rawHeaders ?? []) as readonly (Buffer | string)[];
    const texts = rawHeaders.map((text) => text.toString('latin1'));
    const head = this.#protocol.decodeAnswerHead(status, texts);
    if (!isAnswerTo(this.#requestId, head)) {
      this.abort(`the answer belongs to request ${head.requestId ?? '(none)'}`);
      return;
    }
    this.#isFramed = isFramed(texts);
    this.#isEarlySuccess = status < LOWEST_ERROR_STATUS && !this.#upload.isWritten;
    this.#receiver.onHead(head);
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.#hasEnded) {
      this.#receiver.onData(chunk);
    }
  }

  onResponseEnd(): void {
    if (this.#isFramed || this.#hasEnded) {
      this.#end({ kind: 'complete', isEndMarked: true });
    } else if (this.#isEarlySuccess) {
      this.#endWithoutAnswer('the upstream answered before it had the request, without a mark');
    } else {
      this.#endUnframed();
    }
  }

  /** Tells the end of an answer without a mark from the end of an upstream that crashed. */
  #endUnframed(): void {
    this.#receiver.checkUnmarkedEnd().then(
      (isWhole) => {
        if (isWhole) {
          this.#end({ kind: 'complete', isEndMarked: false });
        } else {
          this.#endWithoutAnswer('the upstream ended, and the answer marks no end');
        }
      },
      (error: unknown) => this.#endWithoutAnswer(String(error)),
    );
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
 * @param protocol - encodes the request and decodes the answer
 * @param request - the caller's request
 * @param details - values for this attempt
 * @param receiver - receives the answer
 * @returns the running attempt
 */
export function sendAttempt(
  connections: Dispatcher,
  protocol: UpstreamProtocol,
  request: CallerRequest,
  details: AttemptDetails,
  receiver: AnswerReceiver,
): RunningAttempt {
  const upload = new Upload(request.body);
  const attempt = new Attempt(request.profile.id, protocol, upload, receiver);
  connections.dispatch({
    path: request.path,
    method: request.method,
    headers: [...protocol.encodeAttempt(request, details), ...upload.headers],
    body: upload.body,
    // Without this, undici retries idempotent methods under its own conditions.
    idempotent: false,
  }, attempt);
  return attempt;
}
