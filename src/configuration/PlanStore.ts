import type { CoreContext } from '../core/CoreContext.ts';
import type { PlanId } from '../lib/ids.ts';
import type { StoredPlan } from './StoredPlan.ts';

/** Bounds on the proposed plans that a host stores in memory. */
export interface PlanStoreOptions {
  readonly maxPlans: number;
  readonly expiryMs: number;
}

/** Defaults of {@link PlanStoreOptions}. */
export const DEFAULT_PLAN_STORE_OPTIONS: PlanStoreOptions = { maxPlans: 64, expiryMs: 900_000 };

interface PlanEntry {
  readonly plan: StoredPlan;
  readonly expiresAtMs: number;
}

/** In-memory store of proposed plans, bounded in number and time. */
export class PlanStore {
  readonly #context: CoreContext;

  readonly #options: PlanStoreOptions;

  /** Entries in the order of their expiry. */
  readonly #entries = new Map<string, PlanEntry>();

  /**
   * @param context - source of the time
   * @param options - defaults: {@link DEFAULT_PLAN_STORE_OPTIONS}
   */
  constructor(context: CoreContext, options: Partial<PlanStoreOptions> = {}) {
    this.#context = context;
    this.#options = { ...DEFAULT_PLAN_STORE_OPTIONS, ...options };
  }

  /**
   * Adds a plan; removes the oldest one when the store is full.
   *
   * @param plan - the plan to add
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
   * @param planId - id of the plan
   * @returns the plan; null when it is unknown at this host or has expired
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
