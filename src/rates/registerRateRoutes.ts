import type { FastifyInstance } from 'fastify';
import { RATE_PATHS, type LeaveAnswer, type LeaveAsk } from './RateMessage.ts';
import type { SendRates } from './SendRates.ts';

/**
 * Lets other hosts ask for leave to send to upstreams whose sum this host keeps.
 *
 * @param server - the server for peers
 * @param rates - what decides
 */
export function registerRateRoutes(server: FastifyInstance, rates: SendRates): void {
  server.post(RATE_PATHS.ask, async (request): Promise<LeaveAnswer> => (
    rates.decide(request.body as LeaveAsk)));
}
