import { Agent, request } from 'undici';
import { getCallerKey } from '../../standins/deployments/getCallerKey.ts';

const ANSWER_TIMEOUT_MS = 30_000;

/** Outcome of a request as its caller sees it. */
export type CallerAnswer =
  | { readonly kind: 'completed'; readonly output: string }
  | { readonly kind: 'refused'; readonly code: string; readonly notRun: boolean }
  /** The connection was refused. */
  | { readonly kind: 'unsent' }
  /** The connection broke, the request timed out, or the answer is incomplete. */
  | { readonly kind: 'cutOff' };

/** A request as a caller sends it. */
export interface CallerRequest {
  readonly pipelineId: string;
  readonly input: string;
  readonly idempotencyKey: string | null;
  readonly isStreamed?: boolean;
}

function isConnectError(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
}

/** Data of one server-sent event from an entry host. */
interface StreamData {
  readonly text?: string;
  readonly lengthUnits?: number;
  readonly code?: string;
  readonly notRun?: boolean;
}

function readEvents(text: string, event: string): StreamData[] {
  return [...text.matchAll(/event: (\w+)\ndata: (.*)\n\n/g)]
    .filter((match) => match[1] === event)
    .map((match) => JSON.parse(match[2] ?? '{}') as StreamData);
}

function getStreamAnswer(text: string): CallerAnswer {
  const [problem] = readEvents(text, 'problem');
  if (problem !== undefined) {
    return { kind: 'refused', code: problem.code ?? '', notRun: problem.notRun === true };
  }
  const output = readEvents(text, 'chunk').map((chunk) => chunk.text).join('');
  const [end] = readEvents(text, 'answer');
  return end?.lengthUnits === output.length ? { kind: 'completed', output } : { kind: 'cutOff' };
}

/** Caller that never retries a request by itself. */
export class FleetCaller {
  // One connection per request: a kept-alive one that closes at a stop would count as `cutOff`.
  readonly #agent = new Agent({ pipelining: 0 });

  /**
   * @param httpUrl - base URL of an entry host
   * @param sent - the request
   * @returns the outcome
   */
  async call(httpUrl: string, sent: CallerRequest): Promise<CallerAnswer> {
    try {
      const response = await request(`${httpUrl}/v1/pipelines/${sent.pipelineId}/requests`, {
        dispatcher: this.#agent,
        method: 'POST',
        headers: {
          authorization: `Bearer ${getCallerKey('account-1')}`,
          'content-type': 'application/json',
          accept: sent.isStreamed === true ? 'text/event-stream' : 'application/json',
          ...(sent.idempotencyKey === null ? {} : { 'idempotency-key': sent.idempotencyKey }),
        },
        body: JSON.stringify({ input: sent.input }),
        signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
      });
      const text = await response.body.text();
      if (sent.isStreamed === true && response.statusCode === 200) {
        return getStreamAnswer(text);
      }
      const body = JSON.parse(text) as { output: string; code: string; notRun: boolean };
      return response.statusCode === 200
        ? { kind: 'completed', output: body.output }
        : { kind: 'refused', code: body.code, notRun: body.notRun };
    } catch (error) {
      return { kind: isConnectError(error) ? 'unsent' : 'cutOff' };
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}
