import type { FastifyInstance } from 'fastify';
import { CONFIGURATION_PATH } from './ConfigurationPeers.ts';
import type { Directory } from './Directory.ts';

const STATUS = { noContent: 204, badRequest: 400 } as const;
const VERSION = /^\d{1,15}$/;

/** The query of a request; every value is a text. */
interface ConfigurationQuery {
  readonly newerThan?: string;
}

/**
 * Registers the route at which other hosts read the configuration of this host.
 *
 * @param server - the HTTP server for peers
 * @param directory - has the configuration
 */
export function registerConfigurationRoutes(server: FastifyInstance, directory: Directory): void {
  // Parsed here, since a JSON schema would be compiled at each start of the host.
  server.get<{ Querystring: ConfigurationQuery }>(CONFIGURATION_PATH, async (request, reply) => {
    const newerThan = request.query.newerThan ?? '';
    if (!VERSION.test(newerThan)) {
      reply.code(STATUS.badRequest);
      return { detail: 'newerThan must be a version: up to 15 digits' };
    }
    const { configuration } = directory;
    if (configuration?.encoded === undefined || configuration.version <= Number(newerThan)) {
      reply.code(STATUS.noContent);
      return null;
    }
    reply.type('text/plain');
    return configuration.encoded;
  });
}
