import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/**
 * @param act - the action to measure
 * @returns bytes by which the heap has grown over it, without garbage
 */
export function measureHeapGrowth(act: () => void): number {
  collectGarbage();
  const beforeBytes = process.memoryUsage().heapUsed;
  act();
  collectGarbage();
  return process.memoryUsage().heapUsed - beforeBytes;
}
