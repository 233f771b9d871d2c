import type { KnownUpstream } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { Clock } from '../time/Clock.ts';
import type { ObservedAttempt, RouteRecorder } from './RouteRecorder.ts';

/** Where the requests of a pool go while a rollout runs there. */
export interface RolloutRule {
  readonly orderId: string;
  readonly targetVersion: string;
  /** Share of the requests that go to the target; 1 for all of them. */
  readonly targetShare: number;
  /** Target of an order that this one has replaced, which gets nothing; null when there is none. */
  readonly formerTarget: string | null;
}

/** Options of a {@link RolloutRequest}. */
export interface RolloutRequestOptions {
  readonly clock: Clock;
  /** The rule that is in force now; null when the rollout has ended. */
  readonly getRule: () => RolloutRule | null;
  /** Position of the request in the draw, from 0 to 1: the lowest ones go to the target. */
  readonly drawn: number;
  readonly recorder: RouteRecorder;
}

/** One attempt of a request that a rollout observes. */
export interface RolloutAttempt {
  /** Records that bytes of the answer have arrived. */
  recordData(): void;
  /** @param outcome - `bad` for a failure; `dropped` when the end shows nothing */
  end(outcome: 'good' | 'bad' | 'dropped'): void;
}

/** Decides to which versions one request may go while a rollout runs, and records its answers. */
export class RolloutRequest {
  readonly #options: RolloutRequestOptions;

  /** Whether it was sent to the target, which happens once only. */
  #hasTriedTarget = false;

  /** Whether the last selection found an upstream of the target for it. */
  #isForTarget = false;

  /**
   * @param options - see {@link RolloutRequestOptions}
   */
  constructor(options: RolloutRequestOptions) {
    this.#options = options;
  }

  /** Whether the rollout that it was opened for still runs. */
  get isCurrent(): boolean {
    return this.#options.getRule() !== null;
  }

  /**
   * @param upstreams - the upstreams that the request may use otherwise
   * @returns those that the rollout lets it use
   */
  select(upstreams: readonly KnownUpstream[]): readonly KnownUpstream[] {
    const rule = this.#options.getRule();
    if (rule === null) {
      return upstreams;
    }
    const targets = upstreams
      .filter(({ entry }) => entry.softwareVersion === rule.targetVersion);
    const isMoved = rule.targetShare >= 1;
    this.#isForTarget = targets.length > 0
      && (isMoved || (!this.#hasTriedTarget && this.#options.drawn < rule.targetShare));
    if (this.#isForTarget) {
      return targets;
    }
    const others = upstreams.filter(({ entry: { softwareVersion } }) => (
      softwareVersion !== rule.targetVersion
      && (rule.formerTarget === null || softwareVersion !== rule.formerTarget)));
    // An order back to the version before leaves no third one that could serve meanwhile.
    this.#isForTarget = others.length === 0 && rule.formerTarget !== null && targets.length > 0;
    return this.#isForTarget ? targets : others;
  }

  /**
   * @param upstream - an upstream that was chosen among the selected ones a while ago
   * @returns whether the request may still be sent to it
   */
  mayUse({ softwareVersion }: UpstreamEntry): boolean {
    const rule = this.#options.getRule();
    if (rule === null) {
      return true;
    }
    const isTarget = softwareVersion === rule.targetVersion;
    return isTarget
      ? this.#isForTarget && (rule.targetShare > 0 || rule.formerTarget !== null)
      : !(this.#isForTarget && rule.targetShare >= 1)
        && (rule.formerTarget === null || softwareVersion !== rule.formerTarget);
  }

  /**
   * @param upstream - the upstream that the request is sent to now
   * @returns records the attempt; null when the rollout has ended
   */
  startAttempt({ entry, coldUntilMs }: KnownUpstream): RolloutAttempt | null {
    const { clock, getRule, recorder } = this.#options;
    const rule = getRule();
    if (rule === null) {
      return null;
    }
    const sentAtMs = clock.getMonotonicMs();
    const isTarget = entry.softwareVersion === rule.targetVersion;
    this.#hasTriedTarget ||= isTarget;
    const attempt: ObservedAttempt = {
      isTarget, isCold: coldUntilMs > sentAtMs, sentAtMs, firstByteAtMs: null, isJudged: false,
    };
    recorder.recordSent(attempt);
    return {
      recordData: () => {
        attempt.firstByteAtMs ??= clock.getMonotonicMs();
      },
      end: (outcome) => recorder.recordEnd(attempt, outcome, clock.getMonotonicMs()),
    };
  }
}
