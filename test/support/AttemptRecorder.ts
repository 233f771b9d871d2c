import type { SendAttemptOutput } from '../../src/core/CoreOutput.ts';
import { toId } from '../../src/lib/ids.ts';
import {
  UpstreamSender, type AttemptInput, type UpstreamSenderOptions,
} from '../../src/upstreams/UpstreamSender.ts';

const TIMEOUT_MS = 5000;

/** Sends attempts by the real sender and keeps what it reports. */
export class AttemptRecorder {
  readonly sender: UpstreamSender;

  readonly inputs: AttemptInput[] = [];

  readonly #waiters: { isMet: () => boolean; resume: () => void }[] = [];

  #attemptCount = 0;

  /**
   * @param options - options of the sender
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
   * @param output - what differs from a call without key
   * @returns an attempt with an id of its own
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
   * @returns everything that was reported of it
   */
  async run(output: SendAttemptOutput): Promise<AttemptInput[]> {
    this.sender.send(output);
    await this.waitUntil(() => this.getEnd(output) !== null);
    return this.inputs.filter((input) => input.attemptId === output.attemptId);
  }

  /**
   * @param output - an attempt
   * @returns how it ended; null while it runs
   */
  getEnd(output: SendAttemptOutput): Exclude<AttemptInput, { kind: 'attemptChunk' }> | null {
    const ends = this.inputs
      .filter((input) => input.kind !== 'attemptChunk')
      .filter((input) => input.attemptId === output.attemptId);
    return ends.at(-1) ?? null;
  }

  /**
   * @param isMet - what to wait for; asked again after each report
   * @returns when it is met
   */
  async waitUntil(isMet: () => boolean): Promise<void> {
    if (isMet()) {
      return;
    }
    await new Promise<void>((resume) => {
      this.#waiters.push({ isMet, resume });
    });
  }

  /** Breaks all connections. */
  async close(): Promise<void> {
    await this.sender.close();
  }
}
