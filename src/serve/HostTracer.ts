import type { SendAttemptOutput } from '../core/CoreOutput.ts';
import type { AttemptId, RequestId } from '../lib/ids.ts';
import type { RequestAnswer } from '../answers/RequestAnswer.ts';
import type { RequestSubmission } from '../callers/CallerPort.ts';
import type { AttemptInput } from '../upstreams/UpstreamSender.ts';
import type { ActiveSpan, Tracing } from '../telemetry/Tracing.ts';

/** The spans of one host: one for each request and one for each attempt. */
export class HostTracer {
  readonly #tracing: Tracing;

  readonly #requests = new Map<RequestId, ActiveSpan>();

  readonly #attempts = new Map<AttemptId, ActiveSpan>();

  /**
   * @param tracing - where spans go
   */
  constructor(tracing: Tracing) {
    this.#tracing = tracing;
  }

  /**
   * @param requestId - the request
   * @param submission - what arrived
   * @returns the trace context for what follows
   */
  startRequest(requestId: RequestId, submission: RequestSubmission): string {
    const hop = this.#tracing.startSpan('request', 'server', submission.traceparent, {
      'request.id': requestId,
      'account.id': submission.accountId,
      'pipeline.id': submission.pipelineId,
    });
    this.#requests.set(requestId, hop);
    return hop.traceparent;
  }

  /**
   * @param requestId - the request
   * @param answer - its final answer
   */
  endRequest(requestId: RequestId, answer: RequestAnswer): void {
    this.#requests.get(requestId)?.end(answer.kind === 'completed' ? null : answer.code);
    this.#requests.delete(requestId);
  }

  /**
   * @param output - an attempt that is about to be sent
   * @returns the same with the trace context of its own span
   */
  startAttempt(output: SendAttemptOutput): SendAttemptOutput {
    const hop = this.#tracing.startSpan(`stage ${output.stageId}`, 'client', output.traceparent, {
      'request.id': output.requestId,
      'attempt.id': output.attemptId,
      'upstream.id': output.upstreamId,
    });
    this.#attempts.set(output.attemptId, hop);
    return { ...output, traceparent: hop.traceparent };
  }

  /**
   * @param input - what became of an attempt
   */
  endAttempt(input: AttemptInput): void {
    if (input.kind === 'attemptChunk') {
      return;
    }
    this.#attempts.get(input.attemptId)?.end(input.kind === 'attemptFailed' ? input.failure : null);
    this.#attempts.delete(input.attemptId);
  }
}
