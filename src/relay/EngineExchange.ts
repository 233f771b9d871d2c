import type { KnownUpstream } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { RolloutAttempt, RolloutRequest } from '../rollouts/RolloutRequest.ts';
import type { RelayContext } from './RelayContext.ts';
import { getAttemptVerdict } from './getAttemptVerdict.ts';
import type { AttemptResult } from './sendAttempt.ts';
import type { AnswerHead } from './UpstreamProtocol.ts';

/** What an exchange with an engine is evidence for. */
export type EngineExchangeContext = Pick<
  RelayContext,
  'directory' | 'reachability'
>;

/**
 * One exchange of a generation with an engine, as evidence that this host reaches upstreams, and of
 * how well the engine's software version serves.
 */
export class EngineExchange {
  readonly #context: EngineExchangeContext;

  readonly #engine: UpstreamEntry;

  readonly #rolloutAttempt: RolloutAttempt | null;

  #head: AnswerHead | null = null;

  /**
   * @param context - what gets the evidence
   * @param engine - the engine that the request is sent to now
   * @param rollout - the rollout in the engine's pool; null when none runs
   */
  constructor(
    context: EngineExchangeContext,
    engine: UpstreamEntry,
    rollout: RolloutRequest | null,
  ) {
    const known: KnownUpstream = context.directory.getUpstream(engine.id)
      ?? { entry: engine, coldUntilMs: 0 };
    this.#context = context;
    this.#engine = engine;
    this.#rolloutAttempt = rollout?.startAttempt(known) ?? null;
    context.reachability.recordSend(engine.id);
  }

  /** @param head - the head of the answer */
  recordHead(head: AnswerHead): void {
    this.#head = head;
    this.#context.reachability.recordAnswer(this.#engine.id);
  }

  /** Records that bytes of the answer have arrived. */
  recordData(): void {
    this.#context.reachability.recordAnswer(this.#engine.id);
    this.#rolloutAttempt?.recordData();
  }

  /** @param result - how the exchange ended */
  end(result: AttemptResult): void {
    if (result.kind === 'notSent') {
      this.#context.reachability.recordUnreachable(this.#engine.id);
    }
    this.#rolloutAttempt?.end(getAttemptVerdict(this.#head, result));
  }
}
