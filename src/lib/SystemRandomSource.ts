import { randomBytes, randomInt } from 'node:crypto';
import type { RandomSource } from './RandomSource.ts';

const FRACTION_STEPS = 2 ** 32;
const ID_BYTES = 16;

/** The operating system's generator; its ids are unguessable. */
export class SystemRandomSource implements RandomSource {
  /** @inheritdoc */
  getFraction(): number {
    return randomInt(FRACTION_STEPS) / FRACTION_STEPS;
  }

  /** @inheritdoc */
  getHexId(): string {
    return randomBytes(ID_BYTES).toString('hex');
  }
}
