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

/** Options of a {@link ConfigurationWriter}. */
export interface ConfigurationWriterOptions extends OperatorTaskTimeouts, PlanStoreOptions {
  /** Maximum number of concurrent operator calls. */
  readonly maxCalls: number;
  /** Returns the state of the fleet that plans are computed from. */
  readonly getFleetState: () => FleetState;
  /** Returns all members, including this host. */
  readonly getMembers: () => readonly MemberRecord[];
}

/** Defaults of the options that are specific to the writer. */
export const DEFAULT_CONFIGURATION_WRITER_OPTIONS = {
  ...DEFAULT_OPERATOR_TASK_TIMEOUTS,
  maxCalls: 32,
  getFleetState: (): FleetState => EMPTY_FLEET_STATE,
  getMembers: (): readonly MemberRecord[] => [],
};

/**
 * Executes operators' calls: creates a plan from an intent, and writes a confirmed plan as the next
 * version of the configuration by compare-and-swap on the head.
 */
export class ConfigurationWriter {
  readonly #context: CoreContext;

  readonly #follower: ConfigurationFollower;

  readonly #options: typeof DEFAULT_CONFIGURATION_WRITER_OPTIONS;

  readonly #client: ConfigurationStoreClient;

  readonly #plans: PlanStore;

  #tasks: OperatorTask[] = [];

  /**
   * @param context - time, randomness and the core's outputs
   * @param follower - receives every configuration that a call reads or writes
   * @param options - defaults: {@link DEFAULT_CONFIGURATION_WRITER_OPTIONS} and those of
   *   {@link PlanStore}
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
   * Starts an operator's call; the answer is emitted as `answerOperator`.
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
    const task = this.#createTask(input);
    this.#tasks.push(task);
    task.start();
  }

  /**
   * Handles an answer to one of the writer's calls; ignores other answers.
   *
   * @param input - any answer of the key-value service
   */
  handleKeyValueAnswer(input: KeyValueAnsweredInput): void {
    this.#client.handleAnswer(input);
    this.#removeFinishedTasks();
  }

  /** Runs due retries and answers calls that have timed out. */
  tick(): void {
    this.#tasks.forEach((task) => task.tick());
    this.#removeFinishedTasks();
  }

  /**
   * @returns the time at which the next tick is due; Infinity when none is
   */
  getNextWakeMs(): number {
    return Math.min(Infinity, ...this.#tasks.map((task) => task.getNextWakeMs()));
  }

  #createTask({ callId, call }: OperatorCalledInput): ConfirmPlanTask | ProposeIntentTask {
    const { getFleetState, getMembers } = this.#options;
    const taskOptions = {
      context: this.#context,
      client: this.#client,
      timeouts: this.#options,
      callId,
      follower: this.#follower,
      plans: this.#plans,
      fleetState: getFleetState(),
    };
    switch (call.kind) {
      case 'proposeIntent':
        return new ProposeIntentTask({ ...taskOptions, intent: call.intent });
      case 'confirmPlan':
        return new ConfirmPlanTask({ ...taskOptions, planId: call.planId, getMembers });
      default:
        throw exhaustiveSwitchError(call);
    }
  }

  #removeFinishedTasks(): void {
    if (this.#tasks.some((task) => task.isFinished())) {
      this.#tasks = this.#tasks.filter((task) => !task.isFinished());
    }
  }
}
