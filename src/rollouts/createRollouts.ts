import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { HostId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import type { UpstreamConnections } from '../upstreams/UpstreamConnections.ts';
import { HttpRolloutTransport } from './HttpRolloutTransport.ts';
import { RolloutLeader } from './RolloutLeader.ts';
import { RolloutReporter } from './RolloutReporter.ts';
import { Rollouts, type RolloutsOptions } from './Rollouts.ts';
import type { RolloutStore } from './RolloutStore.ts';
import { RolloutTable } from './RolloutTable.ts';
import { StageRollouts } from './StageRollouts.ts';

/** Options of {@link createRollouts}. */
export interface RolloutPartsOptions
  extends Pick<RolloutsOptions, 'exposureShare' | 'getRunningIds'> {
  readonly clock: Clock;
  readonly hostId: HostId;
  /** Differs for each process of a host. */
  readonly processId: string;
  readonly directory: Directory;
  readonly store: RolloutStore;
  readonly connections: UpstreamConnections;
  readonly logger: Logger;
}

/** The parts of a host that take part in rollouts. */
export interface RolloutParts {
  readonly rollouts: Rollouts;
  /** Takes the reports of hosts, and decides while this host leads. */
  readonly leader: RolloutLeader;
  readonly reporter: RolloutReporter;
  /** Decides for the stages that this host places. */
  readonly stageRollouts: StageRollouts;
}

/**
 * @param options - what the parts work with
 * @returns the parts, connected with each other
 */
export function createRollouts(options: RolloutPartsOptions): RolloutParts {
  const {
    clock, directory, hostId, processId,
  } = options;
  const table = new RolloutTable(clock, directory);
  const rollouts = new Rollouts({ ...options, table, identity: { hostId, processId } });
  const leader = new RolloutLeader({ ...options, table });
  const reporter = new RolloutReporter({
    ...options, table, rollouts, leader, transport: new HttpRolloutTransport(options.connections),
  });
  const stageRollouts = new StageRollouts(rollouts, directory);
  return {
    rollouts, leader, reporter, stageRollouts,
  };
}
