import type { CoreContext } from '../core/CoreContext.ts';
import type { KeyValueAnsweredInput } from '../core/CoreInput.ts';
import { toId, type OperationId } from '../lib/ids.ts';
import {
  KEY_VALUE_CLASS, type KeyValueAnswer, type KeyValueCall,
} from '../platform/KeyValueCall.ts';

/** Handles the answer to one call. */
export type AnswerHandler = (answer: KeyValueAnswer) => void;

/** Sends key-value calls of the class `configuration` and passes each answer to its handler. */
export class ConfigurationStoreClient {
  readonly #context: CoreContext;

  readonly #handlers = new Map<OperationId, AnswerHandler>();

  /**
   * @param context - randomness and the core's outputs
   */
  constructor(context: CoreContext) {
    this.#context = context;
  }

  /**
   * Sends a call.
   *
   * @param call - the call to send
   * @param handler - called once with the answer, unless it is removed first
   * @returns the id of the call, for {@link removeHandler}
   */
  send(call: KeyValueCall, handler: AnswerHandler): OperationId {
    const operationId = toId<OperationId>(this.#context.random.getHexId());
    this.#handlers.set(operationId, handler);
    this.#context.emit({
      kind: 'callKeyValue', operationId, callClass: KEY_VALUE_CLASS.configuration, call,
    });
    return operationId;
  }

  /**
   * Removes the handler of a call, so that its answer is ignored.
   *
   * @param operationId - id of the call
   */
  removeHandler(operationId: OperationId): void {
    this.#handlers.delete(operationId);
  }

  /**
   * Passes an answer to the handler of its call; ignores answers to other calls.
   *
   * @param input - any answer of the key-value service
   */
  handleAnswer(input: KeyValueAnsweredInput): void {
    const handler = this.#handlers.get(input.operationId);
    this.#handlers.delete(input.operationId);
    handler?.(input.answer);
  }
}
