import { createPlan } from '../intents/createPlan.ts';
import type { Intent } from '../intents/Intent.ts';
import type { Plan } from '../intents/Plan.ts';
import type { FleetState } from '../intents/FleetState.ts';
import { toId, type PlanId } from '../lib/ids.ts';
import type { KeyValueAnswer } from '../platform/KeyValueCall.ts';
import { CONFIGURATION_HEAD_KEY, getPlanKey } from './CONFIGURATION_HEAD_KEY.ts';
import type { ConfigurationFollower } from './ConfigurationFollower.ts';
import type { PlanStore } from './PlanStore.ts';
import type { StoredPlan } from './StoredPlan.ts';
import { OperatorTask, type OperatorTaskOptions } from './OperatorTask.ts';

/** What a proposal is made with. */
export interface ProposeIntentTaskOptions extends OperatorTaskOptions {
  readonly follower: ConfigurationFollower;
  readonly plans: PlanStore;
  readonly fleetState: FleetState;
  readonly intent: Intent;
}

/**
 * Proposes an intent: reads the head so that the plan is made for the latest version, makes the
 * plan, and stores it in the platform so that any host can confirm it. A plan is answered also when
 * it could not be stored; then only this host can confirm it.
 */
export class ProposeIntentTask extends OperatorTask {
  readonly #options: ProposeIntentTaskOptions;

  #plan: Plan | null = null;

  /**
   * @param options - what the flow works with
   */
  constructor(options: ProposeIntentTaskOptions) {
    super(options);
    this.#options = options;
  }

  /** Begins the flow. */
  start(): void {
    this.send(
      { kind: 'get', key: CONFIGURATION_HEAD_KEY },
      (answer) => this.#handleHead(answer),
    );
  }

  /** @inheritdoc */
  protected handleTimeout(): void {
    if (this.#plan === null) {
      this.#propose();
    } else {
      this.finish({ kind: 'planProposed', plan: this.#plan });
    }
  }

  #handleHead(answer: KeyValueAnswer): void {
    this.#options.follower.handleHeadAnswer(answer);
    this.#propose();
  }

  #propose(): void {
    const {
      follower, plans, fleetState: facts, intent,
    } = this.#options;
    if (!follower.isReady()) {
      this.finishUnavailable(false);
      return;
    }
    const planId = toId<PlanId>(this.context.random.getHexId());
    const plan = createPlan({
      planId, intent, configuration: follower.getConfiguration(), fleetState: facts,
    });
    this.#plan = plan;
    const stored: StoredPlan = { planId, baseVersion: plan.baseVersion, intent };
    plans.add(stored);
    if (plan.conflicts.length > 0) {
      // It can't be confirmed, so other hosts need not know it.
      this.finish({ kind: 'planProposed', plan });
      return;
    }
    this.#store(stored, plan, 0);
  }

  #store(stored: StoredPlan, plan: Plan, expectedVersion: number): void {
    this.send({
      kind: 'compareAndSwap',
      key: getPlanKey(plan.planId),
      expectedVersion,
      value: JSON.stringify(stored),
    }, (answer) => {
      // The key is used again for later plans; its version is learnt from the first try.
      if (answer.kind === 'conflict' && answer.version !== expectedVersion) {
        this.#store(stored, plan, answer.version);
      } else {
        this.finish({ kind: 'planProposed', plan });
      }
    });
  }
}
