import type { FastifyInstance } from 'fastify';
import { PERMIT_PATHS, type PermitResponse, type PermitRequest } from './PermitMessage.ts';
import type { SendRateLimiter } from './SendRateLimiter.ts';

/**
 * Lets other hosts ask for leave to send to upstreams whose sum this host keeps.
 *
 * @param server - the server for peers
 * @param rates - what decides
 */
export function registerPermitRoutes(server: FastifyInstance, rates: SendRateLimiter): void {
  server.post(PERMIT_PATHS.request, async (request): Promise<PermitResponse> => (
    rates.decide(request.body as PermitRequest)));
}
