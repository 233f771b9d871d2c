import { DecoratorHandler, type Dispatcher } from 'undici';
import { ClosedUpstreamError } from './ClosedUpstreamError.ts';

class StartCheckHandler extends DecoratorHandler {
  readonly #handler: Dispatcher.DispatchHandler;

  readonly #mayStart: () => boolean;

  constructor(handler: Dispatcher.DispatchHandler, mayStart: () => boolean) {
    super(handler);
    this.#handler = handler;
    this.#mayStart = mayStart;
  }

  onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
    if (this.#mayStart()) {
      this.#handler.onRequestStart?.(controller, context);
    } else {
      controller.abort(new ClosedUpstreamError());
    }
  }
}

/**
 * Asks once more whether an exchange may begin when a connection is free for it: it may have waited
 * for one while its upstream was leaving.
 *
 * @param mayStart - whether it may; otherwise it fails with a {@link ClosedUpstreamError}
 * @returns what connections are composed with
 */
export function createStartCheck(mayStart: () => boolean): Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (options, handler) => dispatch(options, new StartCheckHandler(handler, mayStart));
}
