import type { Clock } from './Clock.ts';

/** The clock of the operating system. */
export class SystemClock implements Clock {
  /** @inheritdoc */
  getMonotonicMs(): number {
    return performance.now();
  }

  /** @inheritdoc */
  getWallMs(): number {
    return performance.timeOrigin + performance.now();
  }
}
