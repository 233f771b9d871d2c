import type { CoreContext } from '../core/CoreContext.ts';
import type { HostId, UpstreamId } from '../lib/ids.ts';
import type { PeerMessage } from '../peers/PeerMessage.ts';
import { GrantHolder } from './GrantHolder.ts';
import type { GrantAskMessage, GrantMessage } from './GrantMessage.ts';
import type { GrantOptions } from './GrantOptions.ts';
import { GrantSteward } from './GrantSteward.ts';
import type { Steward, StewardDirectory } from './StewardDirectory.ts';

/** This host as a holder and as a steward of slots, with the messages between the two roles. */
export class GrantDesk {
  readonly holder: GrantHolder;

  readonly #context: CoreContext;

  readonly #directory: StewardDirectory;

  readonly #steward: GrantSteward;

  readonly #getBearable: (upstreamId: UpstreamId) => number;

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

  #answer(fromHostId: HostId, ask: GrantAskMessage): void {
    const bearable = this.#getBearable(ask.upstreamId);
    const reply = this.#steward.handleAsk(fromHostId, ask, bearable);
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
