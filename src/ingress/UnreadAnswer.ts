import type { ServerResponse } from 'node:http';
import { BUFFER_PART } from '../memory/BUFFER_PART.ts';
import type { BufferHolder, BufferMemory } from '../memory/BufferMemory.ts';
import { ProgressPace } from '../memory/ProgressPace.ts';
import type { Clock } from '../time/Clock.ts';

/** Size of the pieces that are written, by which a reader's progress is seen. */
const PIECE_BYTES = 65_536;

/** A large answer that its caller has not read yet; it counts towards the host's memory. */
export class UnreadAnswer implements BufferHolder {
  readonly #memory: BufferMemory;

  readonly #response: ServerResponse;

  readonly #body: Buffer;

  readonly #pace: ProgressPace;

  #writtenBytes = 0;

  #isReleased = false;

  /**
   * @param memory - memory that the answer counts towards
   * @param clock - the time
   * @param response - receives the answer; its head has been written
   * @param body - the body
   */
  constructor(memory: BufferMemory, clock: Clock, response: ServerResponse, body: Buffer) {
    this.#memory = memory;
    this.#response = response;
    this.#body = body;
    this.#pace = new ProgressPace(clock);
    memory.reserve(BUFFER_PART.answers, body.length);
    memory.addHolder(BUFFER_PART.answers, this);
    response.once('close', () => this.#release());
    response.on('drain', () => this.#write());
    this.#write();
  }

  /** @inheritdoc */
  get progressBytes(): number {
    return this.#writtenBytes;
  }

  /** @inheritdoc */
  isSlow(): boolean {
    return this.#pace.isSlow();
  }

  /** @inheritdoc */
  drop(): void {
    this.#release();
    this.#response.destroy();
  }

  #release(): void {
    if (!this.#isReleased) {
      this.#isReleased = true;
      this.#memory.removeHolder(BUFFER_PART.answers, this);
      this.#memory.release(BUFFER_PART.answers, this.#body.length);
    }
  }

  #write(): void {
    this.#pace.record(this.#writtenBytes);
    let mayWrite = !this.#response.destroyed && !this.#response.writableEnded;
    while (mayWrite) {
      const piece = this.#body.subarray(this.#writtenBytes, this.#writtenBytes + PIECE_BYTES);
      this.#writtenBytes += piece.length;
      if (this.#writtenBytes === this.#body.length) {
        this.#response.end(piece);
        mayWrite = false;
      } else {
        mayWrite = this.#response.write(piece);
      }
    }
  }
}
