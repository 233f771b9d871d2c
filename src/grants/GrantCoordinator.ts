import type { CoreContext } from '../core/CoreContext.ts';
import type { HostId, UpstreamId } from '../lib/ids.ts';
import type { GrantAskMessage, GrantReplyMessage, GrantReturnMessage } from './GrantMessage.ts';
import { DEFAULT_GRANT_OPTIONS, getGrantSplit, type GrantOptions } from './GrantOptions.ts';
import type { GrantCoordinatorDirectory, GrantCoordinatorDuty } from './GrantCoordinatorDirectory.ts';

interface Grant {
  readonly hostId: HostId;
  /** When the steward may grant the slot again without a return. */
  readonly freeAtMs: number;
}

interface GrantTable {
  epoch: number;
  readonly grants: Map<string, Grant>;
}

function createGrant(
  { askId, upstreamId }: GrantAskMessage,
  { epoch }: GrantCoordinatorDuty,
  durationMs: number,
): GrantReplyMessage {
  return {
    kind: 'grantReply', askId, upstreamId, epoch, durationMs, retryAfterMs: 0,
  };
}

/**
 * Hands out the slots of the cold upstreams that this host is steward of. A slot counts as used
 * until it is returned or its time, lengthened by the drift of clocks, is over. A new duty starts
 * with a wait of the longest grant, since the slots of the steward before are not known.
 *
 * ```ts
 * const reply = steward.handleAsk(fromHostId, ask, pool.coldConcurrency); // send it back
 * steward.handleReturn(fromHostId, message);
 * ```
 */
export class GrantCoordinator {
  readonly #context: CoreContext;

  readonly #directory: GrantCoordinatorDirectory;

  readonly #options: GrantOptions;

  readonly #tables = new Map<UpstreamId, GrantTable>();

  /**
   * @param context - the time of the step
   * @param directory - which duties this host has
   * @param options - how slots are granted; what is left out takes its default
   */
  constructor(
    context: CoreContext,
    directory: GrantCoordinatorDirectory,
    options: Partial<GrantOptions> = {},
  ) {
    this.#context = context;
    this.#directory = directory;
    this.#options = { ...DEFAULT_GRANT_OPTIONS, ...options };
  }

  /**
   * Answers an ask for one slot.
   *
   * @param fromHostId - who asks
   * @param ask - what for
   * @param coldStartLimit - attempts that the upstream bears while cold, over all hosts
   * @param ungrantedCount - attempts that run there without a slot, sent before its start was noticed
   * @returns the grant, or a denial with a time to ask again
   */
  handleSlotRequest(
    fromHostId: HostId,
    ask: GrantAskMessage,
    coldStartLimit: number,
    ungrantedCount = 0,
  ): GrantReplyMessage {
    const duty = this.#directory.getOwnDuty(ask.upstreamId);
    const readyInMs = duty === null ? Infinity : this.#getReadyInMs(duty);
    if (duty === null || readyInMs > 0) {
      return this.#deny(ask, duty, readyInMs);
    }
    const ledger = this.#getTable(ask.upstreamId, duty.epoch);
    const { hostCountBound, shareFraction } = this.#getBounds();
    const { coordinatorSlots: granted } = getGrantSplit(coldStartLimit, hostCountBound, shareFraction);
    const known = ledger.grants.get(ask.askId);
    if (known !== undefined) {
      return this.#repeatGrant(fromHostId, ask, duty, known);
    }
    if (ledger.grants.size + ungrantedCount >= granted) {
      return this.#deny(ask, duty, this.#options.retryAfterMs);
    }
    const durationMs = Math.min(ask.durationMs, this.#options.maxGrantMs);
    const freeAtMs = this.#context.getNowMs() + this.#getWaitMs(durationMs);
    ledger.grants.set(ask.askId, { hostId: fromHostId, freeAtMs });
    return createGrant(ask, duty, durationMs);
  }

  /**
   * @param upstreamId - an upstream
   * @returns slots that are granted there now
   */
  countGrants(upstreamId: UpstreamId): number {
    return this.#tables.get(upstreamId)?.grants.size ?? 0;
  }

  /**
   * Takes a slot back.
   *
   * @param fromHostId - who returns it
   * @param message - which slot
   */
  handleReturn(fromHostId: HostId, message: GrantReturnMessage): void {
    const grants = this.#tables.get(message.upstreamId)?.grants;
    if (grants?.get(message.askId)?.hostId === fromHostId) {
      grants.delete(message.askId);
    }
  }

  /** The answer to an ask was lost: what is left of the slot is granted under the same name. */
  #repeatGrant(
    fromHostId: HostId,
    ask: GrantAskMessage,
    duty: GrantCoordinatorDuty,
    known: Grant,
  ): GrantReplyMessage {
    const { driftFraction, marginMs, retryAfterMs } = this.#options;
    const remainingMs = (known.freeAtMs - this.#context.getNowMs() - marginMs) / (1 + driftFraction);
    return known.hostId === fromHostId && remainingMs > 0
      ? createGrant(ask, duty, remainingMs) : this.#deny(ask, duty, retryAfterMs);
  }

  #getBounds(): { hostCountBound: number; shareFraction: number } {
    const hostCountBound = this.#directory.getHostCountBound();
    return { hostCountBound, shareFraction: this.#options.shareFraction };
  }

  #getReadyInMs(duty: GrantCoordinatorDuty): number {
    const nowMs = this.#context.getNowMs();
    const readyAtMs = duty.sinceMs + this.#getWaitMs(this.#options.maxGrantMs);
    return nowMs >= duty.untilMs ? Infinity : readyAtMs - nowMs;
  }

  #getWaitMs(durationMs: number): number {
    return durationMs * (1 + this.#options.driftFraction) + this.#options.marginMs;
  }

  /** A ledger of an earlier duty is of no use: other stewards may have granted since. */
  #getTable(upstreamId: UpstreamId, epoch: number): GrantTable {
    const known = this.#tables.get(upstreamId);
    const ledger = known?.epoch === epoch ? known : { epoch, grants: new Map<string, Grant>() };
    if (ledger !== known) {
      this.#tables.set(upstreamId, ledger);
    }
    const nowMs = this.#context.getNowMs();
    ledger.grants.forEach((grant, askId) => {
      if (nowMs >= grant.freeAtMs) {
        ledger.grants.delete(askId);
      }
    });
    return ledger;
  }

  #deny(
    ask: GrantAskMessage,
    duty: GrantCoordinatorDuty | null,
    retryAfterMs: number,
  ): GrantReplyMessage {
    return {
      kind: 'grantReply',
      askId: ask.askId,
      upstreamId: ask.upstreamId,
      epoch: duty?.epoch ?? 0,
      durationMs: 0,
      retryAfterMs: Number.isFinite(retryAfterMs) ? retryAfterMs : this.#options.retryAfterMs,
    };
  }
}
