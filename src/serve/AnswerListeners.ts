import type { RequestAnswer } from '../answers/RequestAnswer.ts';
import type { AnswerListener } from '../callers/CallerPort.ts';
import type { RequestId } from '../lib/ids.ts';

/** Listeners by the request whose answer they wait for. */
export class AnswerListeners {
  readonly #listeners = new Map<RequestId, AnswerListener[]>();

  /**
   * Adds a listener to a request.
   *
   * @param requestId - id of the request
   * @param listener - receives its chunks and its answer
   */
  add(requestId: RequestId, listener: AnswerListener): void {
    const others = this.#listeners.get(requestId);
    if (others === undefined) {
      this.#listeners.set(requestId, [listener]);
    } else {
      others.push(listener);
    }
  }

  /**
   * Removes a listener from a request.
   *
   * @param requestId - id of the request
   * @param listener - the listener to remove
   * @returns whether the request has no listener left
   */
  remove(requestId: RequestId, listener: AnswerListener): boolean {
    const left = (this.#listeners.get(requestId) ?? []).filter((other) => other !== listener);
    if (left.length === 0) {
      this.#listeners.delete(requestId);
      return true;
    }
    this.#listeners.set(requestId, left);
    return false;
  }

  /**
   * Delivers a chunk to the listeners of a request.
   *
   * @param requestId - id of the request
   * @param offset - offset of the text in the answer
   * @param text - the text
   */
  deliverChunk(requestId: RequestId, offset: number, text: string): void {
    this.#listeners.get(requestId)?.forEach((listener) => listener.onChunk(offset, text));
  }

  /**
   * Delivers the answer to the listeners of a request and removes them.
   *
   * @param requestId - id of the request
   * @param answer - its final answer
   */
  deliverAnswer(requestId: RequestId, answer: RequestAnswer): void {
    const listeners = this.#listeners.get(requestId);
    this.#listeners.delete(requestId);
    listeners?.forEach((listener) => listener.onAnswer(answer));
  }
}
