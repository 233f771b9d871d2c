import type { Logger } from 'pino';
import type { SelfIdentity } from '../core/CoreContext.ts';
import type { CoreInput } from '../core/CoreInput.ts';
import type { SendPeerMessageOutput } from '../core/CoreOutput.ts';
import { HttpHostListClient } from '../platform/HttpHostListClient.ts';
import { FrameTooLargeError } from '../peers/FrameTooLargeError.ts';
import { PeerTransport, type PeerTransportCounters } from '../peers/PeerTransport.ts';

/** Options of {@link PeerLink}. */
export interface PeerLinkOptions {
  readonly listen: { readonly host: string; readonly port: number };
  /** This host's identity; the listener's bound address replaces its peer address. */
  readonly self: SelfIdentity;
  readonly peerKey: string | null;
  readonly platformUrl: string;
  readonly logger: Logger;
  /** Time between two renewals of this host's entry in the platform's host list. */
  readonly registerPeriodMs: number;
  /** Time between two reads of the host list while it shows other hosts. */
  readonly readPeriodMs: number;
  /** Time between two reads while the list shows no other host or can't be read. */
  readonly firstReadPeriodMs: number;
}

/** Defaults of {@link PeerLinkOptions}: with 330 hosts, 83 renewals and 11 reads per second. */
export const DEFAULT_PEER_LINK_OPTIONS = {
  registerPeriodMs: 4000, readPeriodMs: 30_000, firstReadPeriodMs: 1000,
} as const;

/** Exchanges peer messages over TCP and renews this host's entry in the platform's host list. */
export class PeerLink {
  readonly self: SelfIdentity;

  readonly #options: PeerLinkOptions;

  readonly #transport: PeerTransport;

  readonly #hostList: HttpHostListClient;

  readonly #pendingInputs: CoreInput[] = [];

  #post: ((input: CoreInput) => void) | null = null;

  #isLeaving = false;

  #registerTimer: NodeJS.Timeout | undefined;

  #readTimer: NodeJS.Timeout | undefined;

  private constructor(options: PeerLinkOptions, transport: PeerTransport) {
    this.#options = options;
    this.#transport = transport;
    this.#hostList = new HttpHostListClient({ url: options.platformUrl });
    this.self = { ...options.self, peerAddress: transport.address };
  }

  /**
   * Creates a link that listens for peers.
   *
   * @param options - see {@link PeerLinkOptions}
   * @returns the link; it queues inputs until `start`
   */
  static async create(
    options: Omit<PeerLinkOptions, keyof typeof DEFAULT_PEER_LINK_OPTIONS>
      & Partial<PeerLinkOptions>,
  ): Promise<PeerLink> {
    // The transport is created before the link, whose identity needs the port it is bound to.
    let link: PeerLink | null = null;
    const transport = await PeerTransport.create({
      listen: options.listen,
      self: options.self,
      key: options.peerKey,
      logger: options.logger,
      onInput: (input) => link?.receive(input),
    });
    link = new PeerLink({ ...DEFAULT_PEER_LINK_OPTIONS, ...options }, transport);
    return link;
  }

  /** Counters of the transport. */
  get counters(): PeerTransportCounters {
    return this.#transport.counters;
  }

  /**
   * Starts to post inputs to the core and to renew the entry in the host list.
   *
   * @param post - posts an input to the core
   */
  start(post: (input: CoreInput) => void): void {
    this.#post = post;
    this.#pendingInputs.splice(0).forEach(post);
    this.#register();
    this.#readHostList();
  }

  /**
   * Posts an input to the core, or queues it until `start`.
   *
   * @param input - an input from a peer or the host list
   */
  receive(input: CoreInput): void {
    if (this.#post === null) {
      this.#pendingInputs.push(input);
    } else {
      this.#post(input);
    }
  }

  /**
   * Sends a message to a peer; a message that is too large is logged and dropped.
   *
   * @param output - the message and its destination
   */
  send({ toHostId, address, message }: SendPeerMessageOutput): void {
    try {
      this.#transport.send(toHostId, address, message);
    } catch (error) {
      if (!(error instanceof FrameTooLargeError)) {
        throw error;
      }
      this.#options.logger.error({ toHostId, kind: message.kind }, error.message);
    }
  }

  /** Marks this host in the host list as leaving: it accepts no new work. */
  announceLeaving(): void {
    if (!this.#isLeaving) {
      this.#isLeaving = true;
      this.#register();
    }
  }

  /** Removes the entry from the host list and closes all connections. */
  async close(): Promise<void> {
    clearTimeout(this.#registerTimer);
    clearTimeout(this.#readTimer);
    this.#post = () => undefined;
    await this.#hostList.deregister(this.self.hostId);
    await this.#hostList.close();
    await this.#transport.close();
  }

  #register(): void {
    clearTimeout(this.#registerTimer);
    this.#registerTimer = setTimeout(() => this.#register(), this.#options.registerPeriodMs);
    this.#hostList.register({
      hostId: this.self.hostId,
      incarnationId: this.self.incarnationId,
      failureDomainId: this.self.failureDomainId,
      peerAddress: this.self.peerAddress,
      isLeaving: this.#isLeaving,
    });
  }

  async #readHostList(): Promise<void> {
    const hosts = await this.#hostList.read();
    if (hosts !== null) {
      this.receive({ kind: 'hostListRead', hosts });
    }
    const hasPeers = hosts?.some(({ hostId }) => hostId !== this.self.hostId) === true;
    const { readPeriodMs, firstReadPeriodMs } = this.#options;
    // The read may end after `close`; its timer must not keep the process alive.
    this.#readTimer = setTimeout(
      () => this.#readHostList(),
      hasPeers ? readPeriodMs : firstReadPeriodMs,
    );
    this.#readTimer.unref();
  }
}
