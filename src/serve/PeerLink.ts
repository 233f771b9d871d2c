import type { Logger } from 'pino';
import type { SelfIdentity } from '../core/CoreContext.ts';
import type { CoreInput } from '../core/CoreInput.ts';
import type { SendPeerMessageOutput } from '../core/CoreOutput.ts';
import { HttpHostListClient } from '../platform/HttpHostListClient.ts';
import { FrameTooLargeError } from '../peers/FrameTooLargeError.ts';
import { PeerTransport, type PeerTransportCounters } from '../peers/PeerTransport.ts';

/** Options of a host's link to its peers. */
export interface PeerLinkOptions {
  readonly listen: { readonly host: string; readonly port: number };
  /** The own identity; its peer address is replaced by the one that the listener got. */
  readonly self: SelfIdentity;
  readonly peerKey: string | null;
  readonly platformUrl: string;
  readonly logger: Logger;
  /** Time between two renewals of the own entry in the platform's host list. */
  readonly registerPeriodMs: number;
  /** Time between two reads of the host list once it was read. */
  readonly readPeriodMs: number;
  /** Time between two reads until it was read with other hosts in it. */
  readonly firstReadPeriodMs: number;
}

/** Defaults of `PeerLinkOptions`: at 330 hosts 83 renewals and 11 reads a second. */
export const DEFAULT_PEER_LINK_OPTIONS = {
  registerPeriodMs: 4000, readPeriodMs: 30_000, firstReadPeriodMs: 1000,
} as const;

/** Carries peer messages over TCP and keeps the own entry in the platform's host list. */
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
   * Listens for peers.
   *
   * @param options - see `PeerLinkOptions`
   * @returns the link; it passes nothing on before `start`
   */
  static async create(
    options: Omit<PeerLinkOptions, keyof typeof DEFAULT_PEER_LINK_OPTIONS>
      & Partial<PeerLinkOptions>,
  ): Promise<PeerLink> {
    // The transport exists before the link, whose identity needs the port that it got.
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
   * Begins to pass inputs on and to keep the entry in the host list.
   *
   * @param post - takes what the core should learn
   */
  start(post: (input: CoreInput) => void): void {
    this.#post = post;
    this.#pendingInputs.splice(0).forEach(post);
    this.#register();
    this.#readHostList();
  }

  /**
   * @param input - what came from a peer or the host list
   */
  receive(input: CoreInput): void {
    if (this.#post === null) {
      this.#pendingInputs.push(input);
    } else {
      this.#post(input);
    }
  }

  /**
   * @param output - a message to a peer
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

  /** Shows in the host list that this host takes no new work. */
  announceLeaving(): void {
    if (!this.#isLeaving) {
      this.#isLeaving = true;
      this.#register();
    }
  }

  /** Takes the entry off the host list and closes all connections. */
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
    // A timer set after the close would keep the process alive.
    this.#readTimer = setTimeout(
      () => this.#readHostList(),
      hasPeers ? readPeriodMs : firstReadPeriodMs,
    );
    this.#readTimer.unref();
  }
}
