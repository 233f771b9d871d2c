import type { CoreContext } from '../core/CoreContext.ts';
import type { HostId, UpstreamId } from '../lib/ids.ts';
import type { PeerMessage } from '../peers/PeerMessage.ts';
import { GrantHolder } from './GrantHolder.ts';
import type { GrantAskMessage, GrantMessage } from './GrantMessage.ts';
import type { GrantOptions } from './GrantOptions.ts';
import { GrantCoordinator } from './GrantCoordinator.ts';
import type { GrantCoordinatorHost, GrantCoordinatorDirectory } from './GrantCoordinatorDirectory.ts';

/** Attempts without a slot at an upstream, as its last load report showed them. */
interface UngrantedAttempts {
  readonly count: number;
  readonly atMs: number;
}

/** How long a report of strays is believed when no further one comes. */
const UNGRANTED_VALID_MS = 2000;

/** This host as a holder and as a steward of slots, with the messages between the two roles. */
export class GrantMessageHandler {
  readonly holder: GrantHolder;

  readonly #context: CoreContext;

  readonly #directory: GrantCoordinatorDirectory;

  readonly #coordinator: GrantCoordinator;

  readonly #getColdStartLimit: (upstreamId: UpstreamId) => number;

  readonly #ungranted = new Map<UpstreamId, UngrantedAttempts>();

  /**
   * @param context - the time of the step and the way out
   * @param directory - who is steward
   * @param getColdStartLimit - attempts that an upstream bears while cold; 0 for an unknown one
   * @param options - how slots are granted; what is left out takes its default
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
    const send = (steward: GrantCoordinatorHost, message: GrantMessage) => {
      this.#send(steward.hostId, steward.address, message);
    };
    this.holder = new GrantHolder(context, directory, send, options);
  }

  /**
   * Takes a message about slots; others are passed over.
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
   * Learns how many attempts an upstream runs. More than were granted are strays: hosts sent them
   * before they noticed that it had started anew, and they take of what it bears.
   *
   * @param upstreamId - the upstream
   * @param runningCount - as its load report says
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
    const strays = this.#ungranted.get(upstreamId);
    const oldestMs = this.#context.getNowMs() - UNGRANTED_VALID_MS;
    return strays === undefined || strays.atMs < oldestMs ? 0 : strays.count;
  }

  #answerSlotRequest(fromHostId: HostId, ask: GrantAskMessage): void {
    const coldStartLimit = this.#getColdStartLimit(ask.upstreamId);
    const ungrantedCount = this.#countUngranted(ask.upstreamId);
    const reply = this.#coordinator.handleSlotRequest(fromHostId, ask, coldStartLimit, ungrantedCount);
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
