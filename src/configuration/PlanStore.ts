import type { CoreContext } from '../core/CoreContext.ts';
import type { PlanId } from '../lib/ids.ts';
import type { StoredPlan } from './StoredPlan.ts';

/** How proposed plans are kept at the host that made them. */
export interface PlanStoreOptions {
  readonly maxPlans: number;
  readonly expiryMs: number;
}

/** The defaults of {@link PlanStoreOptions}. */
export const DEFAULT_PLAN_STORE_OPTIONS: PlanStoreOptions = { maxPlans: 64, expiryMs: 900_000 };

interface PlanEntry {
  readonly plan: StoredPlan;
  readonly expiresAtMs: number;
}

/** Plans that were proposed at this host, bounded in number and time. */
export class PlanStore {
  readonly #context: CoreContext;

  readonly #options: PlanStoreOptions;

  /** In the order in which they expire. */
  readonly #entries = new Map<string, PlanEntry>();

  /**
   * @param context - the time
   * @param options - see {@link DEFAULT_PLAN_STORE_OPTIONS}
   */
  constructor(context: CoreContext, options: Partial<PlanStoreOptions> = {}) {
    this.#context = context;
    this.#options = { ...DEFAULT_PLAN_STORE_OPTIONS, ...options };
  }

  /**
   * @param plan - to keep; the oldest plan goes when there are too many
   */
  add(plan: StoredPlan): void {
    const expiresAtMs = this.#context.getNowMs() + this.#options.expiryMs;
    this.#entries.set(plan.planId, { plan, expiresAtMs });
    const [oldestId] = this.#entries.keys();
    if (this.#entries.size > this.#options.maxPlans && oldestId !== undefined) {
      this.#entries.delete(oldestId);
    }
  }

  /**
   * @param planId - a plan
   * @returns the plan; null when it is not known here or expired
   */
  get(planId: PlanId): StoredPlan | null {
    const entry = this.#entries.get(planId);
    if (entry === undefined) {
      return null;
    }
    if (entry.expiresAtMs <= this.#context.getNowMs()) {
      this.#entries.delete(planId);
      return null;
    }
    return entry.plan;
  }
}
