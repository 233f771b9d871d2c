import type { FastifyInstance } from 'fastify';
import type { DirectoryFollower } from './DirectoryFollower.ts';
import { DIRECTORY_PATH, type PeerChanges } from './DirectoryPeers.ts';

const STATUS_UNAVAILABLE = 503;
const QUERY_SCHEMA = {
  type: 'object',
  required: ['after', 'waitMs'],
  properties: {
    after: { type: 'integer', minimum: 0 },
    waitMs: { type: 'integer', minimum: 0, maximum: 10_000 },
  },
} as const;

/**
 * Lets other hosts follow the directory of this one.
 *
 * @param server - the server for peers
 * @param follower - what this host follows itself
 */
export function registerDirectoryRoutes(
  server: FastifyInstance,
  follower: DirectoryFollower,
): void {
  server.get<{ Querystring: { after: number; waitMs: number } }>(
    DIRECTORY_PATH,
    { schema: { querystring: QUERY_SCHEMA } },
    async (request, reply): Promise<PeerChanges | { detail: string }> => {
      const { after, waitMs } = request.query;
      const lapsesInMs = follower.freshness?.expiresInMs ?? 0;
      await follower.changeLog.waitForChangesAfter(after, Math.min(waitMs, lapsesInMs));
      const { freshness } = follower;
      if (freshness === null) {
        reply.code(STATUS_UNAVAILABLE);
        return { detail: 'this host does not follow the store, or has lost it' };
      }
      return { ...follower.changeLog.getSince(after), ageMs: freshness.ageMs };
    },
  );
}
