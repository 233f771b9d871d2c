import type { FastifyInstance } from 'fastify';
import type { QuotaBorrower } from '../quotas/QuotaBorrower.ts';
import type { LeaseOffer } from '../quotas/QuotaLease.ts';
import { PLACEMENT_PATHS } from './PLACEMENT_PATHS.ts';

const STATUS_UNAVAILABLE = 503;

/**
 * Serves the leases of send quotas that other hosts offer.
 *
 * @param server - the server for peers
 * @param borrower - takes the leases
 */
export function registerLeaseRoutes(server: FastifyInstance, borrower: QuotaBorrower): void {
  server.post(PLACEMENT_PATHS.leases, async (request, reply) => {
    if (!borrower.isOpen) {
      reply.code(STATUS_UNAVAILABLE);
      return { detail: 'this host hands its placements over' };
    }
    return borrower.accept(request.body as LeaseOffer);
  });
}
