import type { CoreContext } from '../core/CoreContext.ts';
import type { KeyValueAnsweredInput, OperatorCalledInput } from '../core/CoreInput.ts';
import { EMPTY_FLEET_STATE, type FleetState } from '../intents/FleetState.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';
import { ConfigurationStoreClient } from './ConfigurationStoreClient.ts';
import type { ConfigurationFollower } from './ConfigurationFollower.ts';
import { ConfirmPlanTask } from './ConfirmPlanTask.ts';
import { PlanStore, type PlanStoreOptions } from './PlanStore.ts';
import { ProposeIntentTask } from './ProposeIntentTask.ts';
import {
  DEFAULT_OPERATOR_TASK_TIMEOUTS, type OperatorTask, type OperatorTaskTimeouts,
} from './OperatorTask.ts';

/** How operators' calls are carried out. */
export interface ConfigurationWriterOptions extends OperatorTaskTimeouts, PlanStoreOptions {
  /** Operators' calls that may be under way together. */
  readonly maxCalls: number;
  /** What the running system adds to a plan. */
  readonly getFleetState: () => FleetState;
  /** All members, the own host among them. */
  readonly getMembers: () => readonly MemberRecord[];
}

/** The defaults of the writer's own options. */
export const DEFAULT_CONFIGURATION_WRITER_OPTIONS = {
  ...DEFAULT_OPERATOR_TASK_TIMEOUTS,
  maxCalls: 32,
  getFleetState: (): FleetState => EMPTY_FLEET_STATE,
  getMembers: (): readonly MemberRecord[] => [],
};

/**
 * Carries out operators' calls: an intent becomes a plan, a confirmed plan becomes the next version
 * of the configuration, by compare-and-swap on one head.
 */
export class ConfigurationWriter {
  readonly #context: CoreContext;

  readonly #follower: ConfigurationFollower;

  readonly #options: typeof DEFAULT_CONFIGURATION_WRITER_OPTIONS;

  readonly #client: ConfigurationStoreClient;

  readonly #plans: PlanStore;

  #tasks: OperatorTask[] = [];

  /**
   * @param context - time, randomness and the way out
   * @param follower - gets every configuration that a call brings to light
   * @param options - see {@link DEFAULT_CONFIGURATION_WRITER_OPTIONS} and the plan store's
   */
  constructor(
    context: CoreContext,
    follower: ConfigurationFollower,
    options: Partial<ConfigurationWriterOptions> = {},
  ) {
    this.#context = context;
    this.#follower = follower;
    this.#options = { ...DEFAULT_CONFIGURATION_WRITER_OPTIONS, ...options };
    this.#client = new ConfigurationStoreClient(context);
    this.#plans = new PlanStore(context, options);
  }

  /**
   * Begins an operator's call; the answer is emitted as `answerOperator`.
   *
   * @param input - the call
   */
  handleOperatorCall(input: OperatorCalledInput): void {
    const { maxCalls, retryAfterMs } = this.#options;
    if (this.#tasks.length >= maxCalls) {
      const answer = {
        kind: 'platformUnavailable' as const, isOutcomeUnknown: false, retryAfterMs,
      };
      this.#context.emit({ kind: 'answerOperator', callId: input.callId, answer });
      return;
    }
    const flow = this.#createTask(input);
    this.#tasks.push(flow);
    flow.start();
  }

  /**
   * @param input - any answer of the key-value service; others than to own calls are passed over
   */
  handleKeyValueAnswer(input: KeyValueAnsweredInput): void {
    this.#client.handleAnswer(input);
    this.#removeFinishedTasks();
  }

  /** Runs due retries and answers calls that took too long. */
  tick(): void {
    this.#tasks.forEach((flow) => flow.tick());
    this.#removeFinishedTasks();
  }

  /**
   * @returns when the next tick is needed; Infinity for none
   */
  getNextWakeMs(): number {
    return Math.min(Infinity, ...this.#tasks.map((flow) => flow.getNextWakeMs()));
  }

  #createTask({ callId, call }: OperatorCalledInput): ConfirmPlanTask | ProposeIntentTask {
    const { getFleetState: getFacts, getMembers } = this.#options;
    const parts = {
      context: this.#context,
      client: this.#client,
      timeouts: this.#options,
      callId,
      follower: this.#follower,
      plans: this.#plans,
      fleetState: getFacts(),
    };
    switch (call.kind) {
      case 'proposeIntent':
        return new ProposeIntentTask({ ...parts, intent: call.intent });
      case 'confirmPlan':
        return new ConfirmPlanTask({ ...parts, planId: call.planId, getMembers });
      default:
        throw exhaustiveSwitchError(call);
    }
  }

  #removeFinishedTasks(): void {
    if (this.#tasks.some((flow) => flow.isFinished())) {
      this.#tasks = this.#tasks.filter((flow) => !flow.isFinished());
    }
  }
}
