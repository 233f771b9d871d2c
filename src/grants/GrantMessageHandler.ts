import type { CoreContext } from '../core/CoreContext.ts';
import type { HostId, UpstreamId } from '../lib/ids.ts';
import type { PeerMessage } from '../peers/PeerMessage.ts';
import { GrantHolder } from './GrantHolder.ts';
import type { GrantAskMessage, GrantMessage } from './GrantMessage.ts';
import type { GrantOptions } from './GrantOptions.ts';
import { GrantCoordinator } from './GrantCoordinator.ts';
import type {
  GrantCoordinatorHost, GrantCoordinatorDirectory,
} from './GrantCoordinatorDirectory.ts';

/** Attempts that run at an upstream without a slot, according to its last load report. */
interface UngrantedAttempts {
  readonly count: number;
  readonly atMs: number;
}

/** How long a count of ungranted attempts stays valid without a further load report. */
const UNGRANTED_VALID_MS = 2000;

/** Routes messages about slots between hosts that hold slots and hosts that grant them. */
export class GrantMessageHandler {
  readonly holder: GrantHolder;

  readonly #context: CoreContext;

  readonly #directory: GrantCoordinatorDirectory;

  readonly #coordinator: GrantCoordinator;

  readonly #getColdStartLimit: (upstreamId: UpstreamId) => number;

  readonly #ungranted = new Map<UpstreamId, UngrantedAttempts>();

  /**
   * @param context - the time of the step and outputs
   * @param directory - the grant coordinator of each upstream
   * @param getColdStartLimit - cold start limit of an upstream; 0 for an unknown one
   * @param options - durations and limits of grants; omitted ones take their defaults
   */
  constructor(
    context: CoreContext,
    directory: GrantCoordinatorDirectory,
    getColdStartLimit: (upstreamId: UpstreamId) => number,
    options: Partial<GrantOptions> = {},
  ) {
    this.#context = context;
    this.#directory = directory;
    this.#getColdStartLimit = getColdStartLimit;
    this.#coordinator = new GrantCoordinator(context, directory, options);
    const send = (coordinator: GrantCoordinatorHost, message: GrantMessage) => {
      this.#send(coordinator.hostId, coordinator.address, message);
    };
    this.holder = new GrantHolder(context, directory, send, options);
  }

  /**
   * Handles a message about slots; other messages are ignored.
   *
   * @param fromHostId - the sender
   * @param message - the message
   * @returns the upstream at which this host's slots may have changed; null for none
   */
  handlePeerMessage(fromHostId: HostId, message: PeerMessage): UpstreamId | null {
    switch (message.kind) {
      case 'grantAsk':
        this.#answerSlotRequest(fromHostId, message);
        return null;
      case 'grantReply':
        this.holder.handleReply(message);
        return message.upstreamId;
      case 'grantReturn':
        this.#coordinator.handleReturn(fromHostId, message);
        return null;
      default:
        return null;
    }
  }

  /**
   * Records how many attempts an upstream runs. Attempts beyond the granted ones were sent by hosts
   * that had not yet noticed the upstream's restart; they count against its cold start limit.
   *
   * @param upstreamId - the upstream
   * @param runningCount - number of running attempts in its load report
   */
  recordRunningCount(upstreamId: UpstreamId, runningCount: number): void {
    const count = Math.max(0, runningCount - this.#coordinator.countGrants(upstreamId));
    if (count === 0) {
      this.#ungranted.delete(upstreamId);
    } else {
      this.#ungranted.set(upstreamId, { count, atMs: this.#context.getNowMs() });
    }
  }

  #countUngranted(upstreamId: UpstreamId): number {
    const ungranted = this.#ungranted.get(upstreamId);
    const oldestMs = this.#context.getNowMs() - UNGRANTED_VALID_MS;
    return ungranted === undefined || ungranted.atMs < oldestMs ? 0 : ungranted.count;
  }

  #answerSlotRequest(fromHostId: HostId, slotRequest: GrantAskMessage): void {
    const coldStartLimit = this.#getColdStartLimit(slotRequest.upstreamId);
    const ungrantedCount = this.#countUngranted(slotRequest.upstreamId);
    const reply = this.#coordinator.handleSlotRequest(
      fromHostId,
      slotRequest,
      coldStartLimit,
      ungrantedCount,
    );
    this.#send(fromHostId, this.#directory.getAddress(fromHostId), reply);
  }

  #send(toHostId: HostId, address: string, message: GrantMessage): void {
    if (toHostId === this.#context.self.hostId) {
      this.handlePeerMessage(toHostId, message);
      return;
    }
    this.#context.emit({
      kind: 'sendPeerMessage', toHostId, address, message,
    });
  }
}
