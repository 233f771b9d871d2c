import type { CoreContext } from '../core/CoreContext.ts';
import type { KeyValueAnsweredInput } from '../core/CoreInput.ts';
import { toId, type OperationId } from '../lib/ids.ts';
import {
  KEY_VALUE_CLASS, type KeyValueAnswer, type KeyValueCall,
} from '../platform/KeyValueCall.ts';

/** Takes the answer to one call. */
export type AnswerHandler = (answer: KeyValueAnswer) => void;

/** Sends calls of the class `configuration` and hands each answer to the one that waits for it. */
export class ConfigurationStoreClient {
  readonly #context: CoreContext;

  readonly #handlers = new Map<OperationId, AnswerHandler>();

  /**
   * @param context - randomness and the way out
   */
  constructor(context: CoreContext) {
    this.#context = context;
  }

  /**
   * @param call - to send
   * @param handler - called once with the answer, unless the call is forgotten before
   * @returns the id under which the call can be forgotten
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
   * @param operationId - a call whose answer is no longer wanted
   */
  removeHandler(operationId: OperationId): void {
    this.#handlers.delete(operationId);
  }

  /**
   * @param input - any answer of the key-value service; others than to own calls are passed over
   */
  handleAnswer(input: KeyValueAnsweredInput): void {
    const handler = this.#handlers.get(input.operationId);
    this.#handlers.delete(input.operationId);
    handler?.(input.answer);
  }
}
