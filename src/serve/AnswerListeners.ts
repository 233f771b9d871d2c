import type { RequestAnswer } from '../answers/RequestAnswer.ts';
import type { AnswerListener } from '../callers/CallerPort.ts';
import type { RequestId } from '../lib/ids.ts';

/** Who waits for which request's answer. */
export class AnswerListeners {
  readonly #listeners = new Map<RequestId, AnswerListener[]>();

  /**
   * @param requestId - the request
   * @param listener - told of its chunks and its answer
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
   * @param requestId - the request
   * @param listener - who no longer listens
   * @returns whether nobody listens any more
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
   * @param requestId - the request
   * @param offset - place of the text
   * @param text - what follows there
   */
  deliverChunk(requestId: RequestId, offset: number, text: string): void {
    this.#listeners.get(requestId)?.forEach((listener) => listener.onChunk(offset, text));
  }

  /**
   * @param requestId - the request
   * @param answer - its final answer
   */
  deliverAnswer(requestId: RequestId, answer: RequestAnswer): void {
    const listeners = this.#listeners.get(requestId);
    this.#listeners.delete(requestId);
    listeners?.forEach((listener) => listener.onAnswer(answer));
  }
}
