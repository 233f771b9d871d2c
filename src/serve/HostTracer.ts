import type { SendAttemptOutput } from '../core/CoreOutput.ts';
import type { AttemptId, RequestId } from '../lib/ids.ts';
import type { RequestAnswer } from '../answers/RequestAnswer.ts';
import type { RequestSubmission } from '../callers/CallerPort.ts';
import type { AttemptInput } from '../upstreams/UpstreamSender.ts';
import type { ActiveSpan, Tracing } from '../telemetry/Tracing.ts';

/** Traces a host's work: one span for each request and one for each attempt. */
export class HostTracer {
  readonly #tracing: Tracing;

  readonly #requests = new Map<RequestId, ActiveSpan>();

  readonly #attempts = new Map<AttemptId, ActiveSpan>();

  /**
   * @param tracing - starts and exports the spans
   */
  constructor(tracing: Tracing) {
    this.#tracing = tracing;
  }

  /**
   * Starts the span of a request.
   *
   * @param requestId - id of the request
   * @param submission - the submitted request
   * @returns the trace context for the request's attempts
   */
  startRequest(requestId: RequestId, submission: RequestSubmission): string {
    const span = this.#tracing.startSpan('request', 'server', submission.traceparent, {
      'request.id': requestId,
      'account.id': submission.accountId,
      'pipeline.id': submission.pipelineId,
    });
    this.#requests.set(requestId, span);
    return span.traceparent;
  }

  /**
   * Ends the span of a request.
   *
   * @param requestId - id of the request
   * @param answer - its final answer
   */
  endRequest(requestId: RequestId, answer: RequestAnswer): void {
    this.#requests.get(requestId)?.end(answer.kind === 'completed' ? null : answer.code);
    this.#requests.delete(requestId);
  }

  /**
   * Starts the span of an attempt.
   *
   * @param output - the attempt to be sent
   * @returns the attempt with the trace context of its span
   */
  startAttempt(output: SendAttemptOutput): SendAttemptOutput {
    const span = this.#tracing.startSpan(`stage ${output.stageId}`, 'client', output.traceparent, {
      'request.id': output.requestId,
      'attempt.id': output.attemptId,
      'upstream.id': output.upstreamId,
    });
    this.#attempts.set(output.attemptId, span);
    return { ...output, traceparent: span.traceparent };
  }

  /**
   * Ends the span of an attempt unless the input is a chunk.
   *
   * @param input - a chunk or the outcome of the attempt
   */
  endAttempt(input: AttemptInput): void {
    if (input.kind === 'attemptChunk') {
      return;
    }
    this.#attempts.get(input.attemptId)?.end(input.kind === 'attemptFailed' ? input.failure : null);
    this.#attempts.delete(input.attemptId);
  }
}
