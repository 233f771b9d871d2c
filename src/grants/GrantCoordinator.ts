import type { CoreContext } from '../core/CoreContext.ts';
import type { HostId, UpstreamId } from '../lib/ids.ts';
import type { GrantAskMessage, GrantReplyMessage, GrantReturnMessage } from './GrantMessage.ts';
import { DEFAULT_GRANT_OPTIONS, getGrantSplit, type GrantOptions } from './GrantOptions.ts';
import type {
  GrantCoordinatorDirectory, GrantCoordinatorDuty,
} from './GrantCoordinatorDirectory.ts';

interface Grant {
  readonly hostId: HostId;
  /** When the coordinator may grant the slot again although it was not returned. */
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
 * Grants slots of the cold upstreams for which this host is the grant coordinator. A slot counts
 * as used until it is returned or until its duration, lengthened by the maximum clock drift, is
 * over. A new coordinator first waits for the longest grant, since it doesn't know the grants of
 * its predecessor.
 *
 * ```ts
 * const reply = coordinator.handleSlotRequest(fromHostId, message, pool.coldConcurrency);
 * coordinator.handleReturn(fromHostId, message);
 * ```
 */
export class GrantCoordinator {
  readonly #context: CoreContext;

  readonly #directory: GrantCoordinatorDirectory;

  readonly #options: GrantOptions;

  readonly #tables = new Map<UpstreamId, GrantTable>();

  /**
   * @param context - the time of the step
   * @param directory - the grant coordinator of each upstream
   * @param options - durations and limits of grants; omitted ones take their defaults
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
   * Answers a request for one slot.
   *
   * @param fromHostId - the requesting host
   * @param slotRequest - the requested slot
   * @param coldStartLimit - maximum concurrent attempts at the cold upstream, over all hosts
   * @param ungrantedCount - attempts sent without a slot before the upstream's start was noticed
   * @returns the grant, or a denial with a retry delay
   */
  handleSlotRequest(
    fromHostId: HostId,
    slotRequest: GrantAskMessage,
    coldStartLimit: number,
    ungrantedCount = 0,
  ): GrantReplyMessage {
    const duty = this.#directory.getOwnDuty(slotRequest.upstreamId);
    const readyInMs = duty === null ? Infinity : this.#getReadyInMs(duty);
    if (duty === null || readyInMs > 0) {
      return this.#deny(slotRequest, duty, readyInMs);
    }
    const table = this.#getTable(slotRequest.upstreamId, duty.epoch);
    const { hostCountBound, shareFraction } = this.#getBounds();
    const { coordinatorSlots } = getGrantSplit(coldStartLimit, hostCountBound, shareFraction);
    const known = table.grants.get(slotRequest.askId);
    if (known !== undefined) {
      return this.#repeatGrant(fromHostId, slotRequest, duty, known);
    }
    if (table.grants.size + ungrantedCount >= coordinatorSlots) {
      return this.#deny(slotRequest, duty, this.#options.retryAfterMs);
    }
    const durationMs = Math.min(slotRequest.durationMs, this.#options.maxGrantMs);
    const freeAtMs = this.#context.getNowMs() + this.#getWaitMs(durationMs);
    table.grants.set(slotRequest.askId, { hostId: fromHostId, freeAtMs });
    return createGrant(slotRequest, duty, durationMs);
  }

  /**
   * @param upstreamId - an upstream
   * @returns number of slots that are granted at the upstream
   */
  countGrants(upstreamId: UpstreamId): number {
    return this.#tables.get(upstreamId)?.grants.size ?? 0;
  }

  /**
   * Releases a returned slot.
   *
   * @param fromHostId - the host that returns the slot
   * @param message - identifies the slot
   */
  handleReturn(fromHostId: HostId, message: GrantReturnMessage): void {
    const grants = this.#tables.get(message.upstreamId)?.grants;
    if (grants?.get(message.askId)?.hostId === fromHostId) {
      grants.delete(message.askId);
    }
  }

  /** Answers a repeated request, whose reply was lost, with the remaining time of its slot. */
  #repeatGrant(
    fromHostId: HostId,
    slotRequest: GrantAskMessage,
    duty: GrantCoordinatorDuty,
    known: Grant,
  ): GrantReplyMessage {
    const { driftFraction, marginMs, retryAfterMs } = this.#options;
    const remainingMs = (known.freeAtMs - this.#context.getNowMs() - marginMs)
      / (1 + driftFraction);
    return known.hostId === fromHostId && remainingMs > 0
      ? createGrant(slotRequest, duty, remainingMs) : this.#deny(slotRequest, duty, retryAfterMs);
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

  /** Replaces a table of an earlier epoch: other coordinators may have granted slots since. */
  #getTable(upstreamId: UpstreamId, epoch: number): GrantTable {
    const known = this.#tables.get(upstreamId);
    const table = known?.epoch === epoch ? known : { epoch, grants: new Map<string, Grant>() };
    if (table !== known) {
      this.#tables.set(upstreamId, table);
    }
    const nowMs = this.#context.getNowMs();
    table.grants.forEach((grant, askId) => {
      if (nowMs >= grant.freeAtMs) {
        table.grants.delete(askId);
      }
    });
    return table;
  }

  #deny(
    slotRequest: GrantAskMessage,
    duty: GrantCoordinatorDuty | null,
    retryAfterMs: number,
  ): GrantReplyMessage {
    return {
      kind: 'grantReply',
      askId: slotRequest.askId,
      upstreamId: slotRequest.upstreamId,
      epoch: duty?.epoch ?? 0,
      durationMs: 0,
      retryAfterMs: Number.isFinite(retryAfterMs) ? retryAfterMs : this.#options.retryAfterMs,
    };
  }
}
