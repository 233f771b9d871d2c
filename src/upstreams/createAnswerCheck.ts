import { DecoratorHandler, type Dispatcher } from 'undici';
import { ForeignAnswerError } from './ForeignAnswerError.ts';

const LOWEST_FINAL_STATUS = 200;

class AnswerCheckHandler extends DecoratorHandler {
  readonly #handler: Dispatcher.DispatchHandler;

  readonly #callId: string;

  readonly #idHeader: string;

  constructor(handler: Dispatcher.DispatchHandler, callId: string, idHeader: string) {
    super(handler);
    this.#handler = handler;
    this.#callId = callId;
    this.#idHeader = idHeader;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[]>,
    ...rest: [string?]
  ): void {
    const answerId = headers[this.#idHeader];
    if (status >= LOWEST_FINAL_STATUS && answerId !== undefined && answerId !== this.#callId) {
      // The connection is closed: the answer to this call would otherwise be taken for the next.
      controller.abort(new ForeignAnswerError(this.#callId, String(answerId)));
      return;
    }
    this.#handler.onResponseStart?.(controller, status, headers, ...rest);
  }
}

/**
 * Creates an interceptor that fails a call whose answer names another call. Upstreams may answer a
 * call a second time, late, when the next call has come over the same connection.
 *
 * @param callId - id of the call, which no other call has
 * @param idHeader - header that carries it in the call and in its answer, in lower case
 * @returns the interceptor; it fails the call with a {@link ForeignAnswerError}
 */
export function createAnswerCheck(
  callId: string,
  idHeader: string,
): Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (options, handler) => dispatch(
    options,
    new AnswerCheckHandler(handler, callId, idHeader),
  );
}
