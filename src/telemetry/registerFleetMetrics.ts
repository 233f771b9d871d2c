import { Gauge, type Registry } from 'prom-client';
import type { PeerTransportCounters } from '../peers/PeerTransport.ts';

/** Values of the metrics about a host's part in the fleet. */
export interface FleetMetrics {
  readonly configurationVersion: number;
  readonly aliveHostCount: number;
  readonly movedDutyCount: number;
  readonly transport: PeerTransportCounters;
}

const MICROS_PER_S = 1e6;

/**
 * Registers gauges for peer traffic, members, heap and processor time, read at each scrape.
 *
 * @param registry - registry of the host's metrics
 * @param getMetrics - reads the current values
 */
export function registerFleetMetrics(registry: Registry, getMetrics: () => FleetMetrics): void {
  const add = (name: string, help: string, read: () => number): void => {
    const gauge: Gauge = new Gauge({
      name: `parsleylift_${name}`,
      help,
      registers: [registry],
      collect: (): void => gauge.set(read()),
    });
  };
  add('configuration_version', 'Version in force.', () => getMetrics().configurationVersion);
  add('alive_hosts', 'Hosts that take part.', () => getMetrics().aliveHostCount);
  add('duties_moved', 'Duties seen to move.', () => getMetrics().movedDutyCount);
  add('peer_sent_bytes', 'Bytes sent to peers.', () => getMetrics().transport.sentBytes);
  add('peer_sent_messages', 'Messages to peers.', () => getMetrics().transport.sentMessages);
  add('peer_dropped_messages', 'Messages to peers dropped for lack of room.', () => (
    getMetrics().transport.droppedMessages));
  add('peer_connections', 'Connections to and from peers.', () => (
    getMetrics().transport.openConnections));
  add('heap_used_bytes', 'Used heap of the process.', () => process.memoryUsage().heapUsed);
  add('cpu_seconds', 'Processor time of the process.', () => {
    const { user, system } = process.cpuUsage();
    return (user + system) / MICROS_PER_S;
  });
}
