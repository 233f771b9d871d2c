import type { SendAttemptOutput } from '../../src/core/CoreOutput.ts';
import { toId } from '../../src/lib/ids.ts';
import {
  UpstreamSender, type AttemptInput, type UpstreamSenderOptions,
} from '../../src/upstreams/UpstreamSender.ts';

const TIMEOUT_MS = 5000;

/** Sends attempts through the real `UpstreamSender` and records its reports. */
export class AttemptRecorder {
  readonly sender: UpstreamSender;

  readonly inputs: AttemptInput[] = [];

  readonly #waiters: { isMet: () => boolean; resume: () => void }[] = [];

  #attemptCount = 0;

  /**
   * @param options - options for the sender
   */
  constructor(options: Partial<UpstreamSenderOptions> = {}) {
    this.sender = new UpstreamSender({
      ...options,
      onInput: (input) => {
        this.inputs.push(input);
        this.#waiters.filter((waiter) => waiter.isMet()).forEach((waiter) => waiter.resume());
      },
    });
  }

  /**
   * @param output - fields that differ from a call without an idempotency key
   * @returns an attempt with a unique id
   */
  createOutput(
    output: Partial<SendAttemptOutput> & Pick<SendAttemptOutput, 'url' | 'poolKind'>,
  ): SendAttemptOutput {
    this.#attemptCount += 1;
    return {
      kind: 'sendAttempt',
      attemptId: toId(`attempt-${this.#attemptCount}`),
      requestId: toId('request-1'),
      accountId: toId('account-1'),
      pipelineId: toId('pipeline-1'),
      stageId: toId('stage-1'),
      upstreamId: toId('upstream-1'),
      input: 'input',
      idempotencyKey: null,
      timeoutMs: TIMEOUT_MS,
      priority: 0,
      traceparent: '',
      ...output,
    };
  }

  /**
   * Sends an attempt and waits for its end.
   *
   * @param output - the attempt
   * @returns all reports about the attempt
   */
  async run(output: SendAttemptOutput): Promise<AttemptInput[]> {
    this.sender.send(output);
    await this.waitUntil(() => this.getEnd(output) !== null);
    return this.inputs.filter((input) => input.attemptId === output.attemptId);
  }

  /**
   * @param output - an attempt
   * @returns the report of its end; null while it runs
   */
  getEnd(output: SendAttemptOutput): Exclude<AttemptInput, { kind: 'attemptChunk' }> | null {
    const ends = this.inputs
      .filter((input) => input.kind !== 'attemptChunk')
      .filter((input) => input.attemptId === output.attemptId);
    return ends.at(-1) ?? null;
  }

  /**
   * @param isMet - the condition to wait for; evaluated after each report
   * @returns once the condition holds
   */
  async waitUntil(isMet: () => boolean): Promise<void> {
    if (isMet()) {
      return;
    }
    await new Promise<void>((resume) => {
      this.#waiters.push({ isMet, resume });
    });
  }

  /** Closes the sender with all its connections. */
  async close(): Promise<void> {
    await this.sender.close();
  }
}
