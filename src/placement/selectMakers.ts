import type { KnownUpstream } from '../directory/Directory.ts';
import type { BatchLimits } from '../directory/ServingConfiguration.ts';
import type { MakerRecord } from './MakerTable.ts';
import type { BusyMaker } from './planBatches.ts';

/** An upstream that may get calls, with what is known of it. */
export interface UsableMaker {
  readonly upstream: KnownUpstream;
  readonly maker: MakerRecord;
}

/** Upstreams slower than this multiple of the fastest one are used when nothing better is idle. */
const SLOW_FACTOR = 2;

/**
 * @param usable - the upstreams of a pool
 * @param limits - what each of them works on at a time
 * @param nowMs - the time of the step
 * @returns those that can take a call now, the one with most room first
 */
export function getIdleMakers(
  usable: readonly UsableMaker[],
  limits: BatchLimits,
  nowMs: number,
): UsableMaker[] {
  const good = usable.filter(({ maker }) => maker.avoidUntilMs <= nowMs);
  const fastest = Math.min(...good.map(({ maker }) => maker.slowness));
  const idle = good.filter(({ maker }) => maker.callCount < limits.callSlots);
  const brisk = idle.filter(({ maker }) => maker.slowness <= fastest * SLOW_FACTOR);
  return (brisk.length > 0 ? brisk : idle)
    .sort((left, right) => left.maker.heldBytes - right.maker.heldBytes
      || left.maker.slowness - right.maker.slowness);
}

/**
 * @param usable - the upstreams of a pool
 * @param limits - what each of them works on at a time
 * @param nowMs - the time of the step
 * @returns those that work on as many calls as they can, and when they are done
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
