import { createPlan } from '../intents/createPlan.ts';
import type { Plan } from '../intents/Plan.ts';
import type { FleetState } from '../intents/FleetState.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import { toId, type PlanId } from '../lib/ids.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';
import type { ConflictAnswer, KeyValueAnswer } from '../platform/KeyValueCall.ts';
import { CONFIGURATION_HEAD_KEY, getPlanKey } from './CONFIGURATION_HEAD_KEY.ts';
import type { ConfigurationFollower } from './ConfigurationFollower.ts';
import { getConfigurationRollout } from './getConfigurationRollout.ts';
import type { PlanStore } from './PlanStore.ts';
import type { ConfigurationRecord } from './records/ConfigurationRecord.ts';
import { parseStoredPlan, type StoredPlan } from './StoredPlan.ts';
import { OperatorTask, type OperatorTaskOptions } from './OperatorTask.ts';

/** What a confirmation is made with. */
export interface ConfirmPlanTaskOptions extends OperatorTaskOptions {
  readonly follower: ConfigurationFollower;
  readonly plans: PlanStore;
  readonly fleetState: FleetState;
  readonly planId: PlanId;
  /** All members, the own host among them. */
  readonly getMembers: () => readonly MemberRecord[];
}

/** Failed calls in a row after which a confirmation that wrote nothing is given up. */
const MAX_FAILURES = 3;

/**
 * Confirms a plan by compare-and-swap on the head of the configuration.
 *
 * Each round reads the head, looks for the plan among the accepted ones, and swaps when the head
 * still has the version that the plan was made for. A swap whose answer was lost is followed by
 * another round: either the head names the plan, or another plan came first and the lost swap can't
 * take effect any more, or the same swap is sent again with the same expected version, of which
 * only one can take effect.
 */
export class ConfirmPlanTask extends OperatorTask {
  readonly #options: ConfirmPlanTaskOptions;

  /** Whether a swap was sent whose answer is out or was lost. */
  #mayHaveSwapped = false;

  #failureCount = 0;

  /**
   * @param options - what the flow works with
   */
  constructor(options: ConfirmPlanTaskOptions) {
    super(options);
    this.#options = options;
  }

  /** Begins a round. */
  start(): void {
    this.send(
      { kind: 'get', key: CONFIGURATION_HEAD_KEY },
      (answer) => this.#handleHead(answer),
    );
  }

  /** @inheritdoc */
  protected handleTimeout(): void {
    this.finishUnavailable(this.#mayHaveSwapped);
  }

  #handleHead(answer: KeyValueAnswer): void {
    switch (answer.kind) {
      case 'value':
      case 'missing':
        if (this.#options.follower.handleHeadAnswer(answer)) {
          this.#confirmAgainstHead(answer.kind === 'value' ? answer.version : 0);
        } else {
          // A head that this program can't read was written by a later one; it is not replaced.
          this.#handleFailure();
        }
        return;
      case 'unavailable':
      case 'unknown':
        this.#handleFailure();
        return;
      case 'swapped':
      case 'conflict':
        throw new Error(`A read was answered by ${answer.kind}`);
      default:
        throw exhaustiveSwitchError(answer);
    }
  }

  /*
   * The follower has the head by now, or a higher version when the read was stale; then the swap
   * below fails and brings the present head.
   */
  #confirmAgainstHead(keyVersion: number): void {
    const { follower, plans, planId } = this.#options;
    const present = follower.getConfiguration();
    const accepted = present.recentPlans?.find((plan) => plan.planId === planId);
    if (accepted !== undefined) {
      this.#finishAccepted(accepted.version);
      return;
    }
    const stored = plans.get(planId);
    if (stored === null) {
      this.#fetchPlan(keyVersion);
    } else {
      this.#swap(stored, present, keyVersion);
    }
  }

  #fetchPlan(keyVersion: number): void {
    const { plans, planId } = this.#options;
    this.send({ kind: 'get', key: getPlanKey(planId) }, (answer) => {
      if (answer.kind === 'unavailable' || answer.kind === 'unknown') {
        this.#handleFailure();
        return;
      }
      const stored = answer.kind === 'value' ? parseStoredPlan(answer.value) : null;
      if (stored?.planId === planId) {
        plans.add(stored);
        this.#confirmAgainstHead(keyVersion);
      } else {
        this.finish({ kind: 'planUnknown' });
      }
    });
  }

  #swap(stored: StoredPlan, present: ConfigurationRecord, keyVersion: number): void {
    if (stored.baseVersion !== present.version) {
      this.#finishConflict(stored.baseVersion, present);
      return;
    }
    const plan = createPlan({
      planId: toId(stored.planId),
      intent: stored.intent,
      configuration: present,
      fleetState: this.#options.fleetState,
    });
    if (plan.conflicts.length > 0) {
      this.finish({
        kind: 'planConflict',
        baseVersion: plan.baseVersion,
        currentVersion: present.version,
        differences: plan.conflicts,
      });
      return;
    }
    const mayHaveSwappedBefore = this.#mayHaveSwapped;
    this.#mayHaveSwapped = true;
    this.send({
      kind: 'compareAndSwap',
      key: CONFIGURATION_HEAD_KEY,
      expectedVersion: keyVersion,
      value: JSON.stringify(plan.configuration),
    }, (answer) => {
      this.#mayHaveSwapped = mayHaveSwappedBefore || answer.kind === 'unknown';
      this.#handleSwapAnswer(plan, answer);
    });
  }

  #handleSwapAnswer(plan: Plan, answer: KeyValueAnswer): void {
    switch (answer.kind) {
      case 'swapped':
        this.#options.follower.adoptIfNewer(plan.configuration);
        this.#finishAccepted(plan.configuration.version);
        return;
      case 'conflict':
        this.#handleSwapConflict(answer);
        return;
      case 'unknown':
      case 'unavailable':
        this.#handleFailure();
        return;
      case 'value':
      case 'missing':
        throw new Error(`A swap was answered by ${answer.kind}`);
      default:
        throw exhaustiveSwitchError(answer);
    }
  }

  #handleSwapConflict({ version, value }: ConflictAnswer): void {
    this.#handleHead(version === 0 ? { kind: 'missing' } : { kind: 'value', version, value });
  }

  #handleFailure(): void {
    this.#failureCount += 1;
    if (!this.#mayHaveSwapped && this.#failureCount >= MAX_FAILURES) {
      this.finishUnavailable(false);
      return;
    }
    this.retryLater(() => this.start());
  }

  #finishAccepted(version: number): void {
    const hosts = getConfigurationRollout(version, this.#options.getMembers());
    this.finish({ kind: 'planAccepted', version, ...hosts });
  }

  #finishConflict(baseVersion: number, present: ConfigurationRecord): void {
    const later = (present.recentPlans ?? []).filter((plan) => plan.version > baseVersion);
    const missingCount = present.version - baseVersion - later.length;
    this.finish({
      kind: 'planConflict',
      baseVersion,
      currentVersion: present.version,
      differences: [
        ...missingCount > 0 ? [`${missingCount} earlier changes that are no longer listed`] : [],
        ...later.map(({ version, planId, changes }) => (
          `version ${version} (plan ${planId}): ${changes.join('; ')}`)),
      ],
    });
  }
}
