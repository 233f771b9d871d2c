import type { CostGrouping, CostReport } from './CostReport.ts';
import type { HostStatus } from './HostStatus.ts';
import type { OperatorAnswer } from './OperatorAnswer.ts';
import type { OperatorCall } from './OperatorCall.ts';
import type { RequestExplanation } from './RequestExplanation.ts';

/** Interface through which the operator API accesses the host. */
export interface OperatorPort {
  /**
   * Passes a call to the core.
   *
   * @param call - a validated intent or a confirmation
   * @returns the core's answer
   */
  call(call: OperatorCall): Promise<OperatorAnswer>;
  /**
   * @returns the current status
   */
  getStatus(): HostStatus;
  /**
   * Reads the booked cost of all hosts.
   *
   * @param by - grouping of the rows
   * @returns the booked cost
   */
  getCost(by: CostGrouping): Promise<CostReport>;
  /**
   * Explains the decisions on a request.
   *
   * @param requestId - a request of any client account
   * @returns the decisions; null when this host does not know the request
   */
  explain(requestId: string): RequestExplanation | null;
}
