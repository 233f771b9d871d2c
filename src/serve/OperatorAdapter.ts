import type { CoreInput } from '../core/CoreInput.ts';
import type { CostLedger } from '../cost/CostLedger.ts';
import { createCostReport } from '../cost/createCostReport.ts';
import type { RequestRecord } from '../core/tables/RequestRecord.ts';
import { toId, type RequestId } from '../lib/ids.ts';
import type { RandomSource } from '../lib/RandomSource.ts';
import type { CostGrouping, CostReport } from '../operators/CostReport.ts';
import type { HostStatus } from '../operators/HostStatus.ts';
import type { OperatorAnswer } from '../operators/OperatorAnswer.ts';
import type { OperatorCall } from '../operators/OperatorCall.ts';
import type { OperatorPort } from '../operators/OperatorPort.ts';
import type { RequestExplanation } from '../operators/RequestExplanation.ts';

/** What the desk needs of its host. */
export interface OperatorAdapterOptions {
  readonly random: RandomSource;
  readonly post: (input: CoreInput) => void;
  readonly getRequest: (requestId: RequestId) => Readonly<RequestRecord> | undefined;
  readonly getStatus: () => HostStatus;
  readonly costs: CostLedger;
  /** Runs a step of the core. */
  readonly wake: () => void;
}

function getOutcome({ answer }: Readonly<RequestRecord>): string {
  if (answer === null) {
    return 'running';
  }
  return answer.kind === 'completed' ? 'completed' : answer.code;
}

/** Stands between the operators' HTTP face and the core. */
export class OperatorAdapter implements OperatorPort {
  readonly #options: OperatorAdapterOptions;

  readonly #pendingCalls = new Map<string, (answer: OperatorAnswer) => void>();

  /**
   * @param options - what the desk needs of its host
   */
  constructor(options: OperatorAdapterOptions) {
    this.#options = options;
  }

  /** @inheritdoc */
  call(call: OperatorCall): Promise<OperatorAnswer> {
    const callId = this.#options.random.getHexId();
    return new Promise((resolve) => {
      this.#pendingCalls.set(callId, resolve);
      this.#options.post({ kind: 'operatorCalled', callId, call });
    });
  }

  /**
   * Passes the core's answer on.
   *
   * @param callId - the call
   * @param answer - the answer
   */
  deliverAnswer(callId: string, answer: OperatorAnswer): void {
    const resolve = this.#pendingCalls.get(callId);
    this.#pendingCalls.delete(callId);
    resolve?.(answer);
  }

  /** @inheritdoc */
  getStatus(): HostStatus {
    return this.#options.getStatus();
  }

  /** @inheritdoc */
  getCost(by: CostGrouping): Promise<CostReport> {
    const { costs, wake } = this.#options;
    return new Promise((resolve) => {
      costs.readAll((records) => resolve(
        createCostReport(records ?? costs.getOwnRecords(), by, records !== null),
      ));
      // The reads go out with the next step.
      wake();
    });
  }

  /** @inheritdoc */
  explain(requestId: string): RequestExplanation | null {
    const request = this.#options.getRequest(toId(requestId));
    if (request === undefined) {
      return null;
    }
    return {
      requestId,
      accountId: request.accountId,
      pipelineId: request.pipeline.id,
      outcome: getOutcome(request),
      lines: request.explanation,
    };
  }
}
