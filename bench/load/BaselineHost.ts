import type { ConfigurationRecord } from '../../src/configuration/records/ConfigurationRecord.ts';
import type { PipelineRecord } from '../../src/configuration/records/PipelineRecord.ts';
import type { UpstreamRecord } from '../../src/configuration/records/UpstreamRecord.ts';
import type {
  AttemptFailedInput, AttemptSucceededInput, CoreInput, RequestSubmittedInput,
} from '../../src/core/CoreInput.ts';
import type { CoreOutput } from '../../src/core/CoreOutput.ts';
import { toId, type AttemptId, type RequestId } from '../../src/lib/ids.ts';
import type { ServingHost } from './ServingHost.ts';

interface BaselineRequest {
  readonly input: RequestSubmittedInput;
  readonly pipeline: PipelineRecord;
  readonly deadlineAtMs: number;
  stageIndex: number;
  isAnswered: boolean;
}

/** Attempts that it sends to one upstream at most, over the number of hosts. */
const FIXED_LIMIT = 8;

/**
 * The simple baseline: round robin over the upstreams that are not drained, a fixed limit for each
 * of them, one first-in-first-out queue for each pool, and a retry after every failure until the
 * deadline.
 */
export class BaselineHost implements ServingHost {
  readonly hostId: string;

  readonly failureDomainId: string;

  readonly #getNowMs: () => number;

  readonly #limit: number;

  readonly #requests = new Map<RequestId, BaselineRequest>();

  readonly #attempts = new Map<AttemptId, { requestId: RequestId; upstreamId: string }>();

  readonly #queues = new Map<string, RequestId[]>();

  readonly #running = new Map<string, number>();

  readonly #lastIndexes = new Map<string, number>();

  #pipelines = new Map<string, PipelineRecord>();

  #upstreamsByPool = new Map<string, UpstreamRecord[]>();

  #outputs: CoreOutput[] = [];

  #attemptCount = 0;

  constructor(
    name: { readonly hostId: string; readonly failureDomainId: string },
    getNowMs: () => number,
    hostCount: number,
  ) {
    this.hostId = name.hostId;
    this.failureDomainId = name.failureDomainId;
    this.#getNowMs = getNowMs;
    this.#limit = Math.max(1, Math.ceil(FIXED_LIMIT / hostCount));
  }

  setConfiguration(configuration: ConfigurationRecord): void {
    this.#pipelines = new Map(configuration.pipelines.map((each) => [each.id, each]));
    const isDrained = (upstream: UpstreamRecord) => configuration.drains
      .some(({ id }) => id === upstream.id || id === upstream.failureDomainId);
    this.#upstreamsByPool = new Map(configuration.pools.map(({ id }) => [
      id,
      configuration.upstreams.filter((each) => each.poolId === id && !isDrained(each)),
    ]));
  }

  getNextWakeMs(): number {
    return Infinity;
  }

  step(inputs: readonly CoreInput[]): CoreOutput[] {
    inputs.forEach((input) => {
      if (input.kind === 'requestSubmitted') {
        this.#submit(input);
      } else if (input.kind === 'attemptSucceeded' || input.kind === 'attemptFailed') {
        this.#end(input);
      }
    });
    this.#upstreamsByPool.forEach((_, poolId) => this.#dispatch(poolId));
    const outputs = this.#outputs;
    this.#outputs = [];
    return outputs;
  }

  #submit(input: RequestSubmittedInput): void {
    const pipeline = this.#pipelines.get(input.pipelineId) as PipelineRecord;
    const deadlineAtMs = this.#getNowMs() + pipeline.deadlineMs;
    this.#requests.set(input.requestId, {
      input, pipeline, deadlineAtMs, stageIndex: 0, isAnswered: false,
    });
    this.#enqueue(input.requestId);
  }

  #enqueue(requestId: RequestId): void {
    const request = this.#requests.get(requestId) as BaselineRequest;
    const poolId = request.pipeline.stages[request.stageIndex]?.poolId ?? '';
    const queue = this.#queues.get(poolId) ?? [];
    queue.push(requestId);
    this.#queues.set(poolId, queue);
  }

  #dispatch(poolId: string): void {
    const queue = this.#queues.get(poolId) ?? [];
    let upstream = queue.length > 0 ? this.#pickUpstream(poolId) : undefined;
    while (upstream !== undefined && queue.length > 0) {
      const request = this.#requests.get(queue.shift() as RequestId) as BaselineRequest;
      if (this.#getNowMs() >= request.deadlineAtMs) {
        this.#refuse(request);
      } else {
        this.#send(request, upstream);
        upstream = this.#pickUpstream(poolId);
      }
    }
  }

  #pickUpstream(poolId: string): UpstreamRecord | undefined {
    const members = this.#upstreamsByPool.get(poolId) ?? [];
    for (let index = 0; index < members.length; index += 1) {
      const nextIndex = ((this.#lastIndexes.get(poolId) ?? 0) + 1) % members.length;
      this.#lastIndexes.set(poolId, nextIndex);
      const member = members[nextIndex];
      if (member !== undefined && (this.#running.get(member.id) ?? 0) < this.#limit) {
        return member;
      }
    }
    return undefined;
  }

  #send(request: BaselineRequest, upstream: UpstreamRecord): void {
    const stage = request.pipeline.stages[request.stageIndex];
    this.#attemptCount += 1;
    const attemptId = toId<AttemptId>(`${this.hostId}/${this.#attemptCount}`);
    const { requestId } = request.input;
    this.#attempts.set(attemptId, { requestId, upstreamId: upstream.id });
    this.#running.set(upstream.id, (this.#running.get(upstream.id) ?? 0) + 1);
    this.#outputs.push({
      kind: 'sendAttempt',
      attemptId,
      requestId,
      accountId: request.input.accountId,
      pipelineId: request.input.pipelineId,
      stageId: toId(stage?.id ?? ''),
      upstreamId: toId(upstream.id),
      url: upstream.url,
      poolKind: 'engine',
      input: '',
      idempotencyKey: null,
      timeoutMs: request.deadlineAtMs - this.#getNowMs(),
      priority: 0,
      traceparent: '',
    });
  }

  #end(input: AttemptSucceededInput | AttemptFailedInput): void {
    const attempt = this.#attempts.get(input.attemptId);
    if (attempt === undefined) {
      return;
    }
    this.#attempts.delete(input.attemptId);
    this.#running.set(attempt.upstreamId, (this.#running.get(attempt.upstreamId) ?? 0) - 1);
    const request = this.#requests.get(attempt.requestId) as BaselineRequest;
    if (input.kind === 'attemptSucceeded') {
      request.stageIndex += 1;
    }
    if (request.stageIndex === request.pipeline.stages.length) {
      this.#answer(request, true);
    } else if (this.#getNowMs() >= request.deadlineAtMs) {
      this.#refuse(request);
    } else {
      this.#enqueue(attempt.requestId);
    }
  }

  #refuse(request: BaselineRequest): void {
    this.#answer(request, false);
  }

  #answer(request: BaselineRequest, isCompleted: boolean): void {
    Object.assign(request, { isAnswered: true });
    this.#requests.delete(request.input.requestId);
    this.#outputs.push({
      kind: 'answerRequest',
      requestId: request.input.requestId,
      answer: isCompleted
        ? {
          kind: 'completed', output: '', digest: '', costMicros: 0, stages: [],
        }
        : {
          kind: 'refused',
          code: 'deadline-exceeded',
          notRun: false,
          retryAfterMs: 1_000,
          detail: '',
          costMicros: 0,
          stages: [],
        },
    });
  }
}
