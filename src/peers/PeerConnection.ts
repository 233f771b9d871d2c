import type { Socket } from 'node:net';
import { Ajv } from 'ajv';
import type { SelfIdentity } from '../core/CoreContext.ts';
import { encodeFrame } from './encodeFrame.ts';
import { FrameDecoder } from './FrameDecoder.ts';
import {
  createFrameMac, createProof, getCommonVersion, helloSchema, isSameProof, proofSchema,
  type HandshakeRole, type Hello,
} from './Handshake.ts';
import { MalformedFrameError } from './MalformedFrameError.ts';
import { PEER_PROTOCOL } from './PEER_PROTOCOL.ts';
import { PriorityBuffer } from './PriorityBuffer.ts';

const HANDSHAKE_TIMEOUT_MS = 2000;

const ajv = new Ajv();
const isHello = ajv.compile<Hello>(helloSchema);
const isProof = ajv.compile<{ mac: string }>(proofSchema);

/** What a connection needs to know. */
export interface PeerConnectionOptions {
  readonly socket: Socket;
  readonly role: HandshakeRole;
  readonly self: SelfIdentity;
  /** The shared peer key; null for plain connections on loopback. */
  readonly key: string | null;
  /** Random value of this connection, 32 hexadecimal digits or more. */
  readonly nonce: string;
  /** The most that waits for the socket. */
  readonly bufferLimitBytes: number;
  /** Time without a frame after which the connection closes. */
  readonly idleTimeoutMs: number;
  /** Called for each frame after the handshake. */
  readonly onMessage: (peer: Hello, message: unknown) => void;
  /** Called once. */
  readonly onClose: (reason: string) => void;
}

/** One TCP connection to a peer: handshake, then frames. Messages go from the dialer's side. */
export class PeerConnection {
  readonly #options: PeerConnectionOptions;

  readonly #decoder = new FrameDecoder(PEER_PROTOCOL.maxHandshakeFrameBytes);

  readonly #buffer: PriorityBuffer;

  readonly #ownHello: Hello;

  #peerHello: Hello | null = null;

  #createMac: ((body: Uint8Array) => Uint8Array) | undefined;

  #isEstablished = false;

  #closeReason: string | null = null;

  #sentBytes = 0;

  /**
   * @param options - see `PeerConnectionOptions`
   */
  constructor(options: PeerConnectionOptions) {
    const { socket, self } = options;
    this.#options = options;
    this.#buffer = new PriorityBuffer(options.bufferLimitBytes);
    this.#ownHello = {
      kind: 'hello',
      minVersion: PEER_PROTOCOL.minVersion,
      maxVersion: PEER_PROTOCOL.maxVersion,
      hostId: self.hostId,
      incarnationId: self.incarnationId,
      failureDomainId: self.failureDomainId,
      nonce: options.nonce,
      isKeyed: options.key !== null,
    };
    socket.setNoDelay(true);
    socket.setTimeout(HANDSHAKE_TIMEOUT_MS, () => {
      this.close(this.#isEstablished ? 'idle' : 'handshake timeout');
    });
    socket.on('data', (chunk: Buffer) => this.#receive(chunk));
    socket.on('drain', () => this.#flush());
    socket.on('error', (error) => this.close(error.message));
    socket.on('close', () => this.close('closed by the peer'));
    if (options.role === 'dialer') {
      socket.once('connect', () => this.#write(this.#ownHello));
    }
  }

  /** Messages dropped because the peer did not take them. */
  get droppedCount(): number {
    return this.#buffer.droppedCount;
  }

  /** Bytes handed to the socket so far. */
  get sentBytes(): number {
    return this.#sentBytes;
  }

  /** Whether the connection can still be used. */
  get isOpen(): boolean {
    return this.#closeReason === null;
  }

  /**
   * Queues a message; the least important one is dropped when the buffer is full.
   *
   * @param message - plain data
   * @param priority - lower goes first
   * @throws FrameTooLargeError when the message does not fit into a frame
   */
  send(message: unknown, priority: number): void {
    // The code behind a frame counts frames in their order on the wire, so it is added when sent.
    this.#buffer.push(encodeFrame(message), priority);
    this.#flush();
  }

  /**
   * Closes the connection.
   *
   * @param reason - for the log and the owner
   */
  close(reason: string): void {
    if (this.#closeReason === null) {
      this.#closeReason = reason;
      this.#options.socket.destroy();
      this.#options.onClose(reason);
    }
  }

  #receive(chunk: Buffer): void {
    try {
      this.#decoder.push(chunk);
      let message = this.#decoder.takeMessage();
      while (message !== undefined && this.isOpen) {
        this.#handle(message);
        message = this.#decoder.takeMessage();
      }
    } catch (error) {
      this.close(error instanceof Error ? error.message : String(error));
    }
  }

  #handle(message: unknown): void {
    if (this.#isEstablished && this.#peerHello !== null) {
      this.#options.onMessage(this.#peerHello, message);
    } else if (this.#peerHello === null) {
      this.#handleHello(message);
    } else {
      this.#handleProof(message);
    }
  }

  #handleHello(message: unknown): void {
    if (!isHello(message)) {
      throw new MalformedFrameError('the first frame is no hello');
    }
    this.#peerHello = message;
    const { dialer, listener } = this.#getHellos(message);
    if (this.#options.role === 'listener') {
      this.#write(this.#ownHello);
    }
    if (getCommonVersion(dialer, listener) === null) {
      throw new MalformedFrameError(
        `no common protocol version: ${message.minVersion} to ${message.maxVersion}`,
      );
    }
    if (dialer.isKeyed !== listener.isKeyed) {
      throw new MalformedFrameError('one side has a peer key and the other has none');
    }
    if (this.#options.key === null) {
      this.#establish();
    } else if (this.#options.role === 'dialer') {
      this.#write(this.#createOwnProof(this.#options.key, dialer, listener));
    }
  }

  #handleProof(message: unknown): void {
    const { key, role } = this.#options;
    if (!isProof(message) || key === null || this.#peerHello === null) {
      throw new MalformedFrameError('the second frame is no proof');
    }
    const { dialer, listener } = this.#getHellos(this.#peerHello);
    const peerRole = role === 'dialer' ? 'listener' : 'dialer';
    if (!isSameProof(createProof(key, peerRole, dialer, listener), message.mac)) {
      throw new MalformedFrameError('the peer does not hold the peer key');
    }
    if (role === 'listener') {
      this.#write(this.#createOwnProof(key, dialer, listener));
    }
    this.#createMac = createFrameMac(key, dialer, listener);
    this.#establish();
  }

  #createOwnProof(key: string, dialer: Hello, listener: Hello): unknown {
    return { kind: 'proof', mac: createProof(key, this.#options.role, dialer, listener) };
  }

  #getHellos(peer: Hello): { dialer: Hello; listener: Hello } {
    return this.#options.role === 'dialer'
      ? { dialer: this.#ownHello, listener: peer }
      : { dialer: peer, listener: this.#ownHello };
  }

  #establish(): void {
    this.#isEstablished = true;
    this.#options.socket.setTimeout(this.#options.idleTimeoutMs);
    const createMac = this.#createMac;
    this.#decoder.setAuthenticated(
      PEER_PROTOCOL.maxFrameBytes,
      createMac === undefined
        ? null
        : (body, mac) => Buffer.from(createMac(body)).equals(mac),
    );
    this.#flush();
  }

  #flush(): void {
    const { socket } = this.#options;
    while (this.#isEstablished && this.isOpen && !socket.writableNeedDrain) {
      const frame = this.#buffer.shift();
      if (frame === undefined) {
        return;
      }
      this.#writeBytes(this.#appendMac(frame));
    }
  }

  #appendMac(frame: Buffer): Buffer {
    if (this.#createMac === undefined) {
      return frame;
    }
    const body = frame.subarray(PEER_PROTOCOL.lengthPrefixBytes);
    const prefix = Buffer.alloc(PEER_PROTOCOL.lengthPrefixBytes);
    prefix.writeUInt32BE(body.length + PEER_PROTOCOL.macBytes);
    return Buffer.concat([prefix, body, this.#createMac(body)]);
  }

  #write(message: unknown): void {
    this.#writeBytes(encodeFrame(message));
  }

  #writeBytes(bytes: Buffer): void {
    this.#sentBytes += bytes.length;
    this.#options.socket.write(bytes);
  }
}
