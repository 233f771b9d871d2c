import { checkCborBounds } from './checkCborBounds.ts';
import { frameCodec } from './frameCodec.ts';
import { MalformedFrameError } from './MalformedFrameError.ts';
import { PEER_PROTOCOL } from './PEER_PROTOCOL.ts';

/** Takes the frames out of a byte stream. Holds at most one frame and one chunk. */
export class FrameDecoder {
  #chunks: Buffer[] = [];

  #bufferedBytes = 0;

  #limitBytes: number;

  #verifyMac: ((body: Uint8Array, mac: Uint8Array) => boolean) | null = null;

  /**
   * @param limitBytes - the largest frame accepted
   */
  constructor(limitBytes: number = PEER_PROTOCOL.maxFrameBytes) {
    this.#limitBytes = limitBytes;
  }

  /** Bytes that wait for the rest of their frame. */
  get bufferedBytes(): number {
    return this.#bufferedBytes;
  }

  /**
   * Changes the rules after the handshake.
   *
   * @param limitBytes - the largest frame accepted from now on
   * @param verifyMac - says whether the code behind a frame is right; null for frames without code
   */
  setAuthenticated(
    limitBytes: number,
    verifyMac: ((body: Uint8Array, mac: Uint8Array) => boolean) | null,
  ): void {
    this.#limitBytes = limitBytes;
    this.#verifyMac = verifyMac;
  }

  /**
   * Adds bytes; call `takeMessage` until it returns undefined afterwards.
   *
   * @param chunk - the next bytes of the stream
   */
  push(chunk: Buffer): void {
    this.#chunks.push(chunk);
    this.#bufferedBytes += chunk.length;
  }

  /**
   * @returns the next whole message, or undefined when more bytes are needed
   * @throws MalformedFrameError when the stream is not of this protocol
   */
  takeMessage(): unknown {
    const prefixBytes = PEER_PROTOCOL.lengthPrefixBytes;
    if (this.#bufferedBytes < prefixBytes) {
      return undefined;
    }
    const sizeBytes = this.#readLength();
    if (sizeBytes === 0 || sizeBytes > this.#limitBytes) {
      throw new MalformedFrameError(`length ${sizeBytes}, limit ${this.#limitBytes}`);
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
      throw new MalformedFrameError(error instanceof Error ? error.message : 'not CBOR');
    }
  }
}
