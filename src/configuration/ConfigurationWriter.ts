import type { CoreContext } from '../core/CoreContext.ts';
import type { KeyValueAnsweredInput, OperatorCalledInput } from '../core/CoreInput.ts';
import { EMPTY_PLAN_FACTS, type PlanFacts } from '../intents/PlanFacts.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';
import { ConfigurationChannel } from './ConfigurationChannel.ts';
import type { ConfigurationFollower } from './ConfigurationFollower.ts';
import { ConfirmFlow } from './ConfirmFlow.ts';
import { PlanStore, type PlanStoreOptions } from './PlanStore.ts';
import { ProposeFlow } from './ProposeFlow.ts';
import {
  DEFAULT_WRITER_FLOW_OPTIONS, type WriterFlow, type WriterFlowOptions,
} from './WriterFlow.ts';

/** How operators' calls are carried out. */
export interface ConfigurationWriterOptions extends WriterFlowOptions, PlanStoreOptions {
  /** Operators' calls that may be under way together. */
  readonly maxCalls: number;
  /** What the running system adds to a plan. */
  readonly getFacts: () => PlanFacts;
  /** All members, the own host among them. */
  readonly getMembers: () => readonly MemberRecord[];
}

/** The defaults of the writer's own options. */
export const DEFAULT_CONFIGURATION_WRITER_OPTIONS = {
  ...DEFAULT_WRITER_FLOW_OPTIONS,
  maxCalls: 32,
  getFacts: (): PlanFacts => EMPTY_PLAN_FACTS,
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

  readonly #channel: ConfigurationChannel;

  readonly #plans: PlanStore;

  #flows: WriterFlow[] = [];

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
    this.#channel = new ConfigurationChannel(context);
    this.#plans = new PlanStore(context, options);
  }

  /**
   * Begins an operator's call; the answer is emitted as `answerOperator`.
   *
   * @param input - the call
   */
  handleOperatorCall(input: OperatorCalledInput): void {
    const { maxCalls, retryAfterMs } = this.#options;
    if (this.#flows.length >= maxCalls) {
      const answer = {
        kind: 'platformUnavailable' as const, isOutcomeUnknown: false, retryAfterMs,
      };
      this.#context.emit({ kind: 'answerOperator', callId: input.callId, answer });
      return;
    }
    const flow = this.#createFlow(input);
    this.#flows.push(flow);
    flow.start();
  }

  /**
   * @param input - any answer of the key-value service; others than to own calls are passed over
   */
  handleKeyValueAnswer(input: KeyValueAnsweredInput): void {
    this.#channel.handleAnswer(input);
    this.#dropFinished();
  }

  /** Runs due retries and answers calls that took too long. */
  tick(): void {
    this.#flows.forEach((flow) => flow.tick());
    this.#dropFinished();
  }

  /**
   * @returns when the next tick is needed; Infinity for none
   */
  getNextWakeMs(): number {
    return Math.min(Infinity, ...this.#flows.map((flow) => flow.getNextWakeMs()));
  }

  #createFlow({ callId, call }: OperatorCalledInput): ConfirmFlow | ProposeFlow {
    const { getFacts, getMembers } = this.#options;
    const parts = {
      context: this.#context,
      channel: this.#channel,
      options: this.#options,
      callId,
      follower: this.#follower,
      plans: this.#plans,
      facts: getFacts(),
    };
    switch (call.kind) {
      case 'proposeIntent':
        return new ProposeFlow({ ...parts, intent: call.intent });
      case 'confirmPlan':
        return new ConfirmFlow({ ...parts, planId: call.planId, getMembers });
      default:
        throw exhaustiveSwitchError(call);
    }
  }

  #dropFinished(): void {
    if (this.#flows.some((flow) => flow.isFinished())) {
      this.#flows = this.#flows.filter((flow) => !flow.isFinished());
    }
  }
}
