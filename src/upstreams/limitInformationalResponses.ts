import { DecoratorHandler, type Dispatcher } from 'undici';
import { AnswerTooLargeError } from './AnswerTooLargeError.ts';

/** Informational answers (1xx) before the final one; a server sends one or two. */
const MAX_INFORMATIONAL = 16;
const LOWEST_FINAL_STATUS = 200;

class InformationalBound extends DecoratorHandler {
  readonly #handler: Dispatcher.DispatchHandler;

  #count = 0;

  constructor(handler: Dispatcher.DispatchHandler) {
    super(handler);
    this.#handler = handler;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    ...rest: [Record<string, string | string[]>, string?]
  ): void {
    if (status < LOWEST_FINAL_STATUS) {
      this.#count += 1;
    }
    if (this.#count > MAX_INFORMATIONAL) {
      controller.abort(new AnswerTooLargeError('the head', `${MAX_INFORMATIONAL} 1xx answers`));
      return;
    }
    this.#handler.onResponseStart?.(controller, status, ...rest);
  }
}

/**
 * Ends exchanges whose server sends one informational answer after the other.
 *
 * @param dispatch - sends a request
 * @returns the same, bounded
 */
export function limitInformationalResponses(dispatch: Dispatcher['dispatch']): Dispatcher['dispatch'] {
  return (options, handler) => dispatch(options, new InformationalBound(handler));
}
