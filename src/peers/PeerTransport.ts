import { randomBytes } from 'node:crypto';
import {
  connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import type { SelfIdentity } from '../core/CoreContext.ts';
import type { PeerMessageReceivedInput, PeerUnreachableInput } from '../core/CoreInput.ts';
import { toId, type HostId } from '../lib/ids.ts';
import { getMessagePriority } from './getMessagePriority.ts';
import { isLoopbackAddress } from './isLoopbackAddress.ts';
import { isPeerMessage } from './isPeerMessage.ts';
import { PeerConnection } from './PeerConnection.ts';
import { PeerKeyMissingError } from './PeerKeyMissingError.ts';
import type { PeerMessage } from './PeerMessage.ts';

const NONCE_BYTES = 16;

/** Limits of a transport; each has a default. */
export interface PeerTransportLimits {
  /** The most that waits for one peer. */
  readonly bufferLimitBytes: number;
  /** Time without a frame after which a connection closes. */
  readonly idleTimeoutMs: number;
  /** The most connections accepted at a time. */
  readonly maxAcceptedConnections: number;
}

/** Defaults of `PeerTransportLimits`; a buffer takes two configurations of one megabyte. */
export const DEFAULT_PEER_TRANSPORT_LIMITS: PeerTransportLimits = {
  bufferLimitBytes: 4 * 1024 * 1024,
  idleTimeoutMs: 60_000,
  maxAcceptedConnections: 1024,
};

/** What a transport needs. */
export interface PeerTransportOptions extends Partial<PeerTransportLimits> {
  readonly listen: { readonly host: string; readonly port: number };
  readonly self: SelfIdentity;
  /** The shared peer key; null allows plain connections on loopback only. */
  readonly key: string | null;
  /** Takes what the core should learn. */
  readonly onInput: (input: PeerMessageReceivedInput | PeerUnreachableInput) => void;
  /** Takes what people should learn. */
  readonly logger?: { warn(fields: object, text: string): void };
}

/** Counters of a transport since its start. */
export interface PeerTransportCounters {
  readonly sentBytes: number;
  readonly sentMessages: number;
  readonly droppedMessages: number;
  readonly unknownMessages: number;
  readonly openConnections: number;
}

interface DialedPeer {
  readonly connection: PeerConnection;
  readonly hostId: HostId;
}

/** Carries messages between entry hosts over TCP; dials when there is something to send. */
export class PeerTransport {
  readonly #options: PeerTransportOptions & PeerTransportLimits;

  readonly #server: Server;

  readonly #dialed = new Map<string, DialedPeer>();

  readonly #accepted = new Set<PeerConnection>();

  #closedSentBytes = 0;

  #closedDroppedMessages = 0;

  #sentMessages = 0;

  #unknownMessages = 0;

  #isClosed = false;

  private constructor(options: PeerTransportOptions, server: Server) {
    this.#options = { ...DEFAULT_PEER_TRANSPORT_LIMITS, ...options };
    this.#server = server;
    this.#server.maxConnections = this.#options.maxAcceptedConnections;
    server.on('connection', (socket) => this.#accept(socket));
  }

  /**
   * Listens for peers.
   *
   * @param options - see `PeerTransportOptions`
   * @returns the listening transport
   * @throws PeerKeyMissingError when there is no key and the address is not on loopback
   */
  static async create(options: PeerTransportOptions): Promise<PeerTransport> {
    const { host, port } = options.listen;
    if (options.key === null && !isLoopbackAddress(host)) {
      throw new PeerKeyMissingError(host);
    }
    const server = createServer();
    const transport = new PeerTransport(options, server);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
    return transport;
  }

  /** `IP:port` of the listener. */
  get address(): string {
    const { address, port } = this.#server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Counters since the start. */
  get counters(): PeerTransportCounters {
    const connections = [
      ...this.#accepted, ...[...this.#dialed.values()].map(({ connection }) => connection),
    ];
    return {
      sentBytes: connections.reduce((sum, item) => sum + item.sentBytes, this.#closedSentBytes),
      droppedMessages: connections
        .reduce((sum, item) => sum + item.droppedCount, this.#closedDroppedMessages),
      sentMessages: this.#sentMessages,
      unknownMessages: this.#unknownMessages,
      openConnections: connections.length,
    };
  }

  /**
   * Sends a message; it is lost when the connection breaks.
   *
   * @param toHostId - the peer, for the report that it cannot be reached
   * @param address - `IP:port` of the peer's listener
   * @param message - what to send
   * @throws FrameTooLargeError when the message does not fit into a frame
   */
  send(toHostId: HostId, address: string, message: PeerMessage): void {
    if (this.#isClosed) {
      return;
    }
    this.#sentMessages += 1;
    const dialed = this.#dialed.get(address) ?? this.#dial(toHostId, address);
    dialed?.connection.send(message, getMessagePriority(message));
  }

  /**
   * Ends all connections.
   *
   * @returns when the listener is closed
   */
  async close(): Promise<void> {
    this.#isClosed = true;
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
    this.#dialed.forEach(({ connection }) => connection.close('shutdown'));
    this.#accepted.forEach((connection) => connection.close('shutdown'));
    await closed;
  }

  #dial(hostId: HostId, address: string): DialedPeer | null {
    const separator = address.lastIndexOf(':');
    const host = address.slice(0, separator).replace(/^\[|\]$/g, '');
    const port = Number(address.slice(separator + 1));
    if (this.#options.key === null && !isLoopbackAddress(host)) {
      this.#options.logger?.warn({ address }, 'peer skipped: it needs a peer key');
      return null;
    }
    const socket = connect({ host, port });
    const connection = this.#createConnection(socket, 'dialer', (reason) => {
      this.#dialed.delete(address);
      this.#addClosedCounters(connection);
      if (!this.#isClosed && reason !== 'idle') {
        this.#options.logger?.warn({ address, hostId, reason }, 'peer connection closed');
        this.#options.onInput({ kind: 'peerUnreachable', hostId });
      }
    });
    const dialed = { connection, hostId };
    this.#dialed.set(address, dialed);
    return dialed;
  }

  #accept(socket: Socket): void {
    const connection = this.#createConnection(socket, 'listener', (reason) => {
      this.#accepted.delete(connection);
      this.#addClosedCounters(connection);
      if (reason !== 'idle' && reason !== 'closed by the peer' && !this.#isClosed) {
        this.#options.logger?.warn({ peer: socket.remoteAddress, reason }, 'peer refused');
      }
    });
    this.#accepted.add(connection);
  }

  #createConnection(
    socket: Socket,
    role: 'dialer' | 'listener',
    onClose: (reason: string) => void,
  ): PeerConnection {
    const { self, key, bufferLimitBytes } = this.#options;
    // The dialer closes first, so that a quiet connection is not taken for a dead peer.
    const idleTimeoutFactor = role === 'dialer' ? 1 : 2;
    return new PeerConnection({
      socket,
      role,
      self,
      key,
      bufferLimitBytes,
      idleTimeoutMs: this.#options.idleTimeoutMs * idleTimeoutFactor,
      nonce: randomBytes(NONCE_BYTES).toString('hex'),
      onClose,
      onMessage: (peer, message) => this.#receive(peer, message),
    });
  }

  #receive(peer: { hostId: string; incarnationId: string }, message: unknown): void {
    if (!isPeerMessage(message)) {
      // A newer peer may speak of things that this program does not know.
      this.#unknownMessages += 1;
      return;
    }
    this.#options.onInput({
      kind: 'peerMessageReceived',
      fromHostId: toId(peer.hostId),
      fromIncarnationId: toId(peer.incarnationId),
      message,
    });
  }

  #addClosedCounters(connection: PeerConnection): void {
    this.#closedSentBytes += connection.sentBytes;
    this.#closedDroppedMessages += connection.droppedCount;
  }
}
