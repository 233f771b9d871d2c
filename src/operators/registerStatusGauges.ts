import { Gauge, type Registry } from 'prom-client';
import type { HostStatus } from './HostStatus.ts';

function countBy<T>(rows: readonly T[], getName: (row: T) => string): Map<string, number> {
  const counts = new Map<string, number>();
  rows.forEach((row) => counts.set(getName(row), (counts.get(getName(row)) ?? 0) + 1));
  return counts;
}

function toGaugeValue(isSet: boolean): number {
  return isSet ? 1 : 0;
}

/**
 * Adds the gauges that alarms are built on; they are read when the metrics are.
 *
 * @param registry - where they are registered
 * @param getStatus - gives the present status
 */
export function registerStatusGauges(registry: Registry, getStatus: () => HostStatus): void {
  const registers = [registry];
  const addGauge = (name: string, help: string, getValue: (status: HostStatus) => number): void => {
    const gauge: Gauge = new Gauge({
      name,
      help,
      registers,
      collect: () => {
        gauge.set(getValue(getStatus()));
      },
    });
  };
  addGauge('parsleylift_ready', '1 when the host is ready.', ({ isReady }) => toGaugeValue(isReady));
  addGauge(
    'parsleylift_platform_reachable',
    '1 when the platform answered the last read of the configuration.',
    ({ isPlatformReachable }) => toGaugeValue(isPlatformReachable),
  );
  const members = new Gauge({
    name: 'parsleylift_members',
    help: 'Entry hosts that this host knows, by state.',
    labelNames: ['state'],
    registers,
    collect: () => {
      members.reset();
      countBy(getStatus().members, ({ state }) => state)
        .forEach((count, state) => members.set({ state }, count));
    },
  });
  const upstreams = new Gauge({
    name: 'parsleylift_upstreams',
    help: 'Upstreams by pool and state, as this host judges them.',
    labelNames: ['pool', 'state'],
    registers,
    collect: () => {
      upstreams.reset();
      getStatus().pools.forEach(({ poolId, upstreams: rows }) => {
        countBy(rows, ({ state }) => state)
          .forEach((count, state) => upstreams.set({ pool: poolId, state }, count));
      });
    },
  });
}
