import type { CoreContext } from '../core/CoreContext.ts';
import type { HostId, UpstreamId } from '../lib/ids.ts';
import type { PeerMessage } from '../peers/PeerMessage.ts';
import { GrantHolder } from './GrantHolder.ts';
import type { GrantAskMessage, GrantMessage } from './GrantMessage.ts';
import type { GrantOptions } from './GrantOptions.ts';
import { GrantSteward } from './GrantSteward.ts';
import type { Steward, StewardDirectory } from './StewardDirectory.ts';

/** Attempts without a slot at an upstream, as its last load report showed them. */
interface Strays {
  readonly count: number;
  readonly atMs: number;
}

/** How long a report of strays is believed when no further one comes. */
const STRAYS_VALID_MS = 2000;

/** This host as a holder and as a steward of slots, with the messages between the two roles. */
export class GrantDesk {
  readonly holder: GrantHolder;

  readonly #context: CoreContext;

  readonly #directory: StewardDirectory;

  readonly #steward: GrantSteward;

  readonly #getBearable: (upstreamId: UpstreamId) => number;

  readonly #strays = new Map<UpstreamId, Strays>();

  /**
   * @param context - the time of the step and the way out
   * @param directory - who is steward
   * @param getBearable - attempts that an upstream bears while cold; 0 for an unknown one
   * @param options - how slots are granted; what is left out takes its default
   */
  constructor(
    context: CoreContext,
    directory: StewardDirectory,
    getBearable: (upstreamId: UpstreamId) => number,
    options: Partial<GrantOptions> = {},
  ) {
    this.#context = context;
    this.#directory = directory;
    this.#getBearable = getBearable;
    this.#steward = new GrantSteward(context, directory, options);
    const send = (steward: Steward, message: GrantMessage) => {
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
        this.#answer(fromHostId, message);
        return null;
      case 'grantReply':
        this.holder.handleReply(message);
        return message.upstreamId;
      case 'grantReturn':
        this.#steward.handleReturn(fromHostId, message);
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
  noteRunning(upstreamId: UpstreamId, runningCount: number): void {
    const count = Math.max(0, runningCount - this.#steward.countGrants(upstreamId));
    if (count === 0) {
      this.#strays.delete(upstreamId);
    } else {
      this.#strays.set(upstreamId, { count, atMs: this.#context.getNowMs() });
    }
  }

  #countStrays(upstreamId: UpstreamId): number {
    const strays = this.#strays.get(upstreamId);
    const oldestMs = this.#context.getNowMs() - STRAYS_VALID_MS;
    return strays === undefined || strays.atMs < oldestMs ? 0 : strays.count;
  }

  #answer(fromHostId: HostId, ask: GrantAskMessage): void {
    const bearable = this.#getBearable(ask.upstreamId);
    const strayCount = this.#countStrays(ask.upstreamId);
    const reply = this.#steward.handleAsk(fromHostId, ask, bearable, strayCount);
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
