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
 * Creates an interceptor that checks, once a connection is free, whether an exchange may still
 * start: its upstream may have begun to leave while the exchange waited for a connection.
 *
 * @param mayStart - whether it may; otherwise it fails with a {@link ClosedUpstreamError}
 * @returns the interceptor
 */
export function createStartCheck(mayStart: () => boolean): Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (options, handler) => dispatch(
    options,
    new StartCheckHandler(handler, mayStart),
  );
}
