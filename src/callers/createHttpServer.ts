import fastify, { type FastifyError, type FastifyInstance } from 'fastify';
import { REFUSAL_CODE } from '../answers/REFUSAL_CODE.ts';
import { createProblem } from './createProblem.ts';
import { PROBLEM_TYPE } from './WholeAnswerWriter.ts';

/** Limits that keep slow and hostile callers cheap. */
export interface HttpServerOptions {
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  readonly maxConnections: number;
  /** Time in which a whole request must have arrived. */
  readonly requestTimeoutMs: number;
  readonly keepAliveTimeoutMs: number;
}

/** Defaults of the HTTP server's limits. */
export const DEFAULT_HTTP_SERVER_OPTIONS: HttpServerOptions = {
  maxBodyBytes: 512 * 1024,
  maxHeaderBytes: 16 * 1024,
  maxConnections: 10_000,
  requestTimeoutMs: 10_000,
  keepAliveTimeoutMs: 72_000,
};

/**
 * Creates the HTTP server of an entry host, without routes.
 *
 * @param options - its limits
 * @returns the server, not listening yet
 */
export function createHttpServer(
  options: HttpServerOptions = DEFAULT_HTTP_SERVER_OPTIONS,
): FastifyInstance {
  const server = fastify({
    bodyLimit: options.maxBodyBytes,
    requestTimeout: options.requestTimeoutMs,
    keepAliveTimeout: options.keepAliveTimeoutMs,
    http: { maxHeaderSize: options.maxHeaderBytes },
    forceCloseConnections: 'idle',
    // Strict types: a deadline of "5" is an error, not a number.
    ajv: { customOptions: { coerceTypes: false, removeAdditional: false, allErrors: true } },
  }) as unknown as FastifyInstance;
  server.server.maxConnections = options.maxConnections;
  server.setErrorHandler((error: FastifyError, _request, reply) => {
    const status = error.statusCode ?? 500;
    const problem = createProblem({
      code: status < 500 ? REFUSAL_CODE.inputInvalid : REFUSAL_CODE.notReady,
      notRun: status < 500,
      retryAfterMs: null,
      detail: error.message,
      costMicros: 0,
    }, null);
    return reply.code(status).type(PROBLEM_TYPE).send(JSON.stringify({ ...problem, status }));
  });
  return server;
}
