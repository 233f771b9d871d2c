import type { FastifyInstance } from 'fastify';
import type { RolloutLeader } from './RolloutLeader.ts';
import { ROLLOUT_PATHS, type RolloutReport, type RolloutResponse } from './RolloutReport.ts';

/**
 * Registers the route on which other hosts report on rollouts.
 *
 * @param server - the server for peers
 * @param leader - takes the reports
 */
export function registerRolloutRoutes(server: FastifyInstance, leader: RolloutLeader): void {
  server.post(ROLLOUT_PATHS.report, async (request): Promise<RolloutResponse> => (
    leader.handleReport(request.body as RolloutReport)));
}
