import { Gauge, type Registry } from 'prom-client';
import type { PeerTransportCounters } from '../peers/PeerTransport.ts';

/** What is shown of a host's part in the fleet. */
export interface FleetMetrics {
  readonly configurationVersion: number;
  readonly aliveHostCount: number;
  readonly movedDutyCount: number;
  readonly transport: PeerTransportCounters;
}

const MICROS_PER_S = 1e6;

/**
 * Shows the peer traffic, the members and what the process spends, each time it is asked.
 *
 * @param registry - where the figures are shown
 * @param getFigures - reads them
 */
export function registerFleetMetrics(registry: Registry, getFigures: () => FleetMetrics): void {
  const add = (name: string, help: string, read: () => number): void => {
    const gauge: Gauge = new Gauge({
      name: `parsleylift_${name}`,
      help,
      registers: [registry],
      collect: (): void => gauge.set(read()),
    });
  };
  add('configuration_version', 'Version in force.', () => getFigures().configurationVersion);
  add('alive_hosts', 'Hosts that take part.', () => getFigures().aliveHostCount);
  add('duties_moved', 'Duties seen to move.', () => getFigures().movedDutyCount);
  add('peer_sent_bytes', 'Bytes sent to peers.', () => getFigures().transport.sentBytes);
  add('peer_sent_messages', 'Messages to peers.', () => getFigures().transport.sentMessages);
  add('peer_dropped_messages', 'Messages to peers dropped for lack of room.', () => (
    getFigures().transport.droppedMessages));
  add('peer_connections', 'Connections to and from peers.', () => (
    getFigures().transport.openConnections));
  add('heap_used_bytes', 'Used heap of the process.', () => process.memoryUsage().heapUsed);
  add('cpu_seconds', 'Processor time of the process.', () => {
    const { user, system } = process.cpuUsage();
    return (user + system) / MICROS_PER_S;
  });
}
