import { GlrDetector } from 'parsleylift/detection';

const THRESHOLD = 6;
const OFFERED_PER_TICK = 50;

/**
 * Detects a rise of the error rate from 2% to 20%, independent of the traffic rate.
 *
 * @returns ticks from the rise to the alarm
 */
export function detectRise(): number {
  const detector = new GlrDetector({ baseRate: 0.02, raisedRate: 0.2 }, THRESHOLD);
  for (let tick = 0; tick < 10; tick += 1) {
    detector.addTick(OFFERED_PER_TICK, 1);
  }
  let ticks = 1;
  while (!detector.addTick(OFFERED_PER_TICK, 10)) {
    ticks += 1;
  }
  return ticks;
}
