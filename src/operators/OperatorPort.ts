import type { CostGrouping, CostReport } from './CostReport.ts';
import type { HostStatus } from './HostStatus.ts';
import type { OperatorAnswer } from './OperatorAnswer.ts';
import type { OperatorCall } from './OperatorCall.ts';
import type { RequestExplanation } from './RequestExplanation.ts';

/** What the operators' HTTP face needs of the host. */
export interface OperatorPort {
  /**
   * @param call - a validated intent or a confirmation
   * @returns the core's answer
   */
  call(call: OperatorCall): Promise<OperatorAnswer>;
  /**
   * @returns the present status
   */
  getStatus(): HostStatus;
  /**
   * @param by - what to group by
   * @returns the booked cost
   */
  getCost(by: CostGrouping): Promise<CostReport>;
  /**
   * @param requestId - a request of any account
   * @returns its decisions; null when this host does not know the request
   */
  explain(requestId: string): RequestExplanation | null;
}
