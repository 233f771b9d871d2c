import type { FastifyInstance } from 'fastify';
import type { DirectoryFollower } from './DirectoryFollower.ts';
import { DIRECTORY_PATH } from './DirectoryPeers.ts';
import { PeerChangesEncoder } from './PeerChangesEncoder.ts';

const STATUS_UNAVAILABLE = 503;
const STATUS_BAD_REQUEST = 400;
/** Longest wait that a host may request. */
const MAX_WAIT_MS = 10_000;
const INTEGER = /^\d{1,16}$/;

/** The query of a request; every value is a text. */
interface DirectoryQuery {
  readonly after?: string;
  readonly waitMs?: string;
}

function parseInteger(text: string | undefined): number | null {
  return text !== undefined && INTEGER.test(text) && Number.isSafeInteger(Number(text))
    ? Number(text)
    : null;
}

/**
 * Registers the route at which other hosts follow the directory of this host.
 *
 * @param server - the HTTP server for peers
 * @param follower - follows the directory on this host
 */
export function registerDirectoryRoutes(
  server: FastifyInstance,
  follower: DirectoryFollower,
): void {
  const encoder = new PeerChangesEncoder();
  // Parsed here, since a JSON schema would be compiled at each start of the host.
  server.get<{ Querystring: DirectoryQuery }>(
    DIRECTORY_PATH,
    async (request, reply): Promise<Buffer | string | { detail: string }> => {
      const after = parseInteger(request.query.after);
      const waitMs = parseInteger(request.query.waitMs);
      if (after === null || waitMs === null || waitMs > MAX_WAIT_MS) {
        reply.code(STATUS_BAD_REQUEST);
        return { detail: `after and waitMs must be integers, waitMs at most ${MAX_WAIT_MS}` };
      }
      const expiresInMs = follower.freshness?.expiresInMs ?? 0;
      await follower.changeLog.waitForChangesAfter(after, Math.min(waitMs, expiresInMs));
      const { freshness } = follower;
      if (freshness === null) {
        reply.code(STATUS_UNAVAILABLE);
        return { detail: 'this host does not follow the store, or has lost contact with it' };
      }
      const { body, isCompressed } = await encoder.encode(
        { ...follower.changeLog.getSince(after), ageMs: freshness.ageMs },
        request.headers['accept-encoding'],
      );
      reply.type('application/json');
      if (isCompressed) {
        reply.header('content-encoding', 'gzip');
      }
      return body;
    },
  );
}
