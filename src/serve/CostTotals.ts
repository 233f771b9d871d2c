import type { CostRow } from '../operators/HostStatus.ts';
import type { AttemptCost, CostPort } from '../cost/CostPort.ts';

interface CostTotal {
  attemptCount: number;
  costMicros: number;
}

function addCost(totals: Map<string, CostTotal>, name: string, costMicros: number): void {
  const total = totals.get(name) ?? { attemptCount: 0, costMicros: 0 };
  total.attemptCount += 1;
  total.costMicros += costMicros;
  totals.set(name, total);
}

function getRows(totals: ReadonlyMap<string, CostTotal>): CostRow[] {
  return [...totals]
    .map(([name, total]) => ({ name, ...total }))
    .sort((left, right) => (left.name < right.name ? -1 : 1));
}

/** What this host booked since its start, by stage and by account. */
export class CostTotals implements CostPort {
  readonly #byStage = new Map<string, CostTotal>();

  readonly #byAccount = new Map<string, CostTotal>();

  /** @inheritdoc */
  book(cost: AttemptCost): void {
    addCost(this.#byStage, `${cost.pipelineId}/${cost.stageId}`, cost.costMicros);
    addCost(this.#byAccount, cost.accountId, cost.costMicros);
  }

  /**
   * @returns one row for each stage, named `pipeline/stage`
   */
  getByStage(): CostRow[] {
    return getRows(this.#byStage);
  }

  /**
   * @returns one row for each account
   */
  getByAccount(): CostRow[] {
    return getRows(this.#byAccount);
  }
}
