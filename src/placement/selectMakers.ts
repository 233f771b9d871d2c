import type { KnownUpstream } from '../directory/Directory.ts';
import type { BatchLimits } from '../directory/ServingConfiguration.ts';
import type { MakerRecord } from './MakerTable.ts';
import type { BusyMaker } from './planBatches.ts';

/** An upstream that may get calls, with its recorded state. */
export interface UsableMaker {
  readonly upstream: KnownUpstream;
  readonly maker: MakerRecord;
}

/** Upstreams slower than this multiple of the fastest are used only if no other is idle. */
const SLOW_FACTOR = 2;

/**
 * @param usable - the upstreams of a pool
 * @param limits - the batch limits of the pool
 * @param nowMs - the current time
 * @returns those that can take a call now, by used memory, the least first
 */
export function getIdleMakers(
  usable: readonly UsableMaker[],
  limits: BatchLimits,
  nowMs: number,
): UsableMaker[] {
  const available = usable.filter(({ maker }) => maker.avoidUntilMs <= nowMs);
  const fastest = Math.min(...available.map(({ maker }) => maker.slowness));
  const idle = available.filter(({ maker }) => maker.callCount < limits.callSlots);
  const fast = idle.filter(({ maker }) => maker.slowness <= fastest * SLOW_FACTOR);
  return (fast.length > 0 ? fast : idle)
    .sort((left, right) => left.maker.heldBytes - right.maker.heldBytes
      || left.maker.slowness - right.maker.slowness);
}

/**
 * @param usable - the upstreams of a pool
 * @param limits - the batch limits of the pool
 * @param nowMs - the current time
 * @returns those without a free slot, with the time until each is expected to have one
 */
export function getBusyMakers(
  usable: readonly UsableMaker[],
  limits: BatchLimits,
  nowMs: number,
): BusyMaker[] {
  return usable
    .filter(({ maker }) => maker.callCount >= limits.callSlots && maker.avoidUntilMs <= nowMs)
    .map(({ upstream, maker }) => ({
      failureDomain: upstream.entry.failureDomain,
      freeInMs: Math.max(0, maker.busyUntilMs - nowMs),
    }));
}
