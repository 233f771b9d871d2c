import { checkCborBounds } from './checkCborBounds.ts';
import { frameCodec } from './frameCodec.ts';
import { MalformedFrameError } from './MalformedFrameError.ts';
import { PEER_PROTOCOL } from './PEER_PROTOCOL.ts';

/** Decodes the frames of a byte stream. Buffers at most one frame and one chunk. */
export class FrameDecoder {
  #chunks: Buffer[] = [];

  #bufferedBytes = 0;

  #limitBytes: number;

  #verifyMac: ((body: Uint8Array, mac: Uint8Array) => boolean) | null = null;

  /**
   * @param limitBytes - size of the largest accepted frame
   */
  constructor(limitBytes: number = PEER_PROTOCOL.maxFrameBytes) {
    this.#limitBytes = limitBytes;
  }

  /** Buffered bytes of incomplete or not yet decoded frames. */
  get bufferedBytes(): number {
    return this.#bufferedBytes;
  }

  /**
   * Sets the frame limit and the authentication that apply after the handshake.
   *
   * @param limitBytes - size of the largest accepted frame
   * @param verifyMac - checks the MAC at the end of a frame; null for frames without MAC
   */
  setAuthenticated(
    limitBytes: number,
    verifyMac: ((body: Uint8Array, mac: Uint8Array) => boolean) | null,
  ): void {
    this.#limitBytes = limitBytes;
    this.#verifyMac = verifyMac;
  }

  /**
   * Adds bytes. Afterwards, `takeMessage` must be called until it returns undefined.
   *
   * @param chunk - the next bytes of the stream
   */
  push(chunk: Buffer): void {
    this.#chunks.push(chunk);
    this.#bufferedBytes += chunk.length;
  }

  /**
   * Removes and decodes the next complete frame.
   *
   * @returns its message, or undefined when more bytes are needed
   * @throws MalformedFrameError when the bytes don't follow the protocol
   */
  takeMessage(): unknown {
    const prefixBytes = PEER_PROTOCOL.lengthPrefixBytes;
    if (this.#bufferedBytes < prefixBytes) {
      return undefined;
    }
    const sizeBytes = this.#readLength();
    if (sizeBytes === 0 || sizeBytes > this.#limitBytes) {
      throw new MalformedFrameError(`length ${sizeBytes} is not between 1 and ${this.#limitBytes}`);
    }
    if (this.#bufferedBytes < prefixBytes + sizeBytes) {
      return undefined;
    }
    const buffered = this.#joinChunks();
    const frame = buffered.subarray(prefixBytes, prefixBytes + sizeBytes);
    this.#setRemaining(buffered.subarray(prefixBytes + sizeBytes));
    return this.#decode(frame);
  }

  #readLength(): number {
    if ((this.#chunks[0]?.length ?? 0) >= PEER_PROTOCOL.lengthPrefixBytes) {
      return this.#chunks[0]?.readUInt32BE(0) ?? 0;
    }
    return this.#joinChunks().readUInt32BE(0);
  }

  #joinChunks(): Buffer {
    const [first] = this.#chunks;
    if (this.#chunks.length === 1 && first !== undefined) {
      return first;
    }
    const joined = Buffer.concat(this.#chunks);
    this.#chunks = [joined];
    return joined;
  }

  #setRemaining(remaining: Buffer): void {
    this.#chunks = remaining.length === 0 ? [] : [remaining];
    this.#bufferedBytes = remaining.length;
  }

  #decode(frame: Buffer): unknown {
    const macBytes = this.#verifyMac === null ? 0 : PEER_PROTOCOL.macBytes;
    const body = frame.subarray(0, Math.max(0, frame.length - macBytes));
    if (this.#verifyMac?.(body, frame.subarray(body.length)) === false) {
      throw new MalformedFrameError('wrong authentication code');
    }
    checkCborBounds(body);
    try {
      return frameCodec.decode(body) as unknown;
    } catch (error) {
      throw new MalformedFrameError(error instanceof Error ? error.message : 'body is not CBOR');
    }
  }
}
