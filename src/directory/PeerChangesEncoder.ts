import { promisify } from 'node:util';
import { constants, gzip } from 'node:zlib';
import type { PeerChanges } from './DirectoryPeers.ts';

const compress = promisify(gzip);

/** Smaller answers take longer to compress than they save on the link. */
const MIN_COMPRESSED_LENGTH = 32_768;

/** Ages are rounded up to multiples of this, so that followers share a compressed text. */
const AGE_STEP_MS = 100;

/** A body and how it is encoded. */
export interface EncodedBody {
  readonly body: Buffer | string;
  readonly isCompressed: boolean;
}

/**
 * Encodes the changes that a reader passes on.
 *
 * Load pattern: a configuration of hundreds of kilobytes changes several times in quick succession,
 * and a reader sends each version to all hosts that follow it, over a link of a few megabits.
 */
export class PeerChangesEncoder {
  /** The last compressed text, since most followers request the same changes. */
  #last: { readonly text: string; readonly body: Promise<Buffer> } | null = null;

  /**
   * @param changes - the changes
   * @param acceptEncoding - what the follower accepts; undefined when it names nothing
   * @returns the body, compressed if it is large and the follower accepts that
   */
  async encode(
    { ageMs, ...changes }: PeerChanges,
    acceptEncoding: string | undefined,
  ): Promise<EncodedBody> {
    const sharedAgeMs = Math.ceil(ageMs / AGE_STEP_MS) * AGE_STEP_MS;
    const text = JSON.stringify({ ...changes, ageMs: sharedAgeMs });
    if (text.length < MIN_COMPRESSED_LENGTH || acceptEncoding?.includes('gzip') !== true) {
      return { body: JSON.stringify({ ...changes, ageMs }), isCompressed: false };
    }
    if (this.#last?.text !== text) {
      this.#last = { text, body: compress(text, { level: constants.Z_BEST_SPEED }) };
    }
    return { body: await this.#last.body, isCompressed: true };
  }
}
