import type { FastifyInstance } from 'fastify';
import { PERMIT_PATHS, type PermitResponse, type PermitRequest } from './PermitMessage.ts';
import type { SendRateLimiter } from './SendRateLimiter.ts';

/**
 * Registers the route on which other hosts request permits from this limit coordinator.
 *
 * @param server - the server for peers
 * @param rateLimiter - decides the requests
 */
export function registerPermitRoutes(server: FastifyInstance, rateLimiter: SendRateLimiter): void {
  server.post(PERMIT_PATHS.request, async (request): Promise<PermitResponse> => (
    rateLimiter.decide(request.body as PermitRequest)));
}
