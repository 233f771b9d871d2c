import type {
  CompletedAnswer, RefusedAnswer, RequestAnswer,
} from '../../src/answers/RequestAnswer.ts';
import type { ConfigurationRecord } from '../../src/configuration/records/ConfigurationRecord.ts';
import { ConfigurationManager } from '../../src/configuration/ConfigurationManager.ts';
import { Core } from '../../src/core/Core.ts';
import type { CoreInput } from '../../src/core/CoreInput.ts';
import type { CoreOutput, SendAttemptOutput } from '../../src/core/CoreOutput.ts';
import type { AttemptCost } from '../../src/cost/CostPort.ts';
import { SingleHostDirectory } from '../../src/grants/SingleHostDirectory.ts';
import { toId, type RequestId } from '../../src/lib/ids.ts';
import { Quarantine } from '../../src/quarantine/Quarantine.ts';
import { PoolRouter } from '../../src/routing/PoolRouter.ts';
import type { AttemptFailure } from '../../src/upstreams/AttemptFailure.ts';
import { ScriptedClaims } from './ScriptedClaims.ts';
import { FakeCoreContext } from './FakeCoreContext.ts';

/** One core under a manual clock; the test takes the role of the upstreams. */
export class CoreRig {
  readonly context = new FakeCoreContext();

  readonly claims = new ScriptedClaims();

  readonly costs: AttemptCost[] = [];

  readonly core: Core;

  readonly outputs: CoreOutput[] = [];

  #submittedCount = 0;

  /**
   * @param configuration - the configuration in force from the start
   */
  constructor(configuration: ConfigurationRecord) {
    const costs = {
      book: (cost: AttemptCost): void => {
        this.costs.push(cost);
      },
    };
    const router = new PoolRouter(this.context, new SingleHostDirectory(this.context));
    const configurationManager = new ConfigurationManager(this.context);
    this.core = new Core(this.context, {
      quarantine: new Quarantine(this.context),
      router,
      claims: this.claims,
      costs,
      configurationManager,
    });
    this.core.setConfiguration(configuration);
  }

  step(...inputs: CoreInput[]): CoreOutput[] {
    this.core.step(inputs);
    const outputs = this.context.takeOutputs();
    this.outputs.push(...outputs);
    return outputs;
  }

  advance(durationMs: number): CoreOutput[] {
    this.context.clock.advance(durationMs);
    return this.step();
  }

  submit(pipelineId: string, idempotencyKey: string | null = null): RequestId {
    this.#submittedCount += 1;
    const requestId = toId<RequestId>(`request-${this.#submittedCount}`);
    this.step({
      kind: 'requestSubmitted',
      requestId,
      accountId: toId('account-1'),
      pipelineId: toId(pipelineId),
      idempotencyKey: idempotencyKey === null ? null : toId(idempotencyKey),
      input: `input ${this.#submittedCount}`,
      deadlineMs: null,
      traceparent: '',
    });
    return requestId;
  }

  /** Sent attempts, in order. */
  get sent(): SendAttemptOutput[] {
    return this.outputs.filter((output) => output.kind === 'sendAttempt');
  }

  succeed(attempt: SendAttemptOutput, costMicros = 10): CoreOutput[] {
    return this.step({
      kind: 'attemptSucceeded',
      attemptId: attempt.attemptId,
      upstreamIncarnation: 'incarnation-1',
      output: `${attempt.stageId}(${attempt.input})`,
      costMicros,
    });
  }

  fail(attempt: SendAttemptOutput, failure: AttemptFailure, costMicros = 0): CoreOutput[] {
    return this.step({
      kind: 'attemptFailed',
      attemptId: attempt.attemptId,
      failure,
      costMicros,
      retryAfterMs: null,
      detail: 'as scripted',
    });
  }

  /** Final answers to a request, in order; a correct core gives at most one. */
  getAnswers(requestId: RequestId): RequestAnswer[] {
    return this.outputs.flatMap((output) => (
      output.kind === 'answerRequest' && output.requestId === requestId ? [output.answer] : []
    ));
  }

  getRefusal(requestId: RequestId): RefusedAnswer | undefined {
    return this.getAnswers(requestId).find((answer) => answer.kind === 'refused');
  }

  getCompleted(requestId: RequestId): CompletedAnswer | undefined {
    return this.getAnswers(requestId).find((answer) => answer.kind === 'completed');
  }
}
