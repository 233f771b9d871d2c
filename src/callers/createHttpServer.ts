import fastify, { type FastifyError, type FastifyInstance } from 'fastify';
import { REFUSAL_CODE } from '../answers/REFUSAL_CODE.ts';
import { createProblem } from './createProblem.ts';
import { PROBLEM_TYPE } from './WholeAnswerWriter.ts';

/** Limits that bound the resources used by slow and malicious callers. */
export interface HttpServerOptions {
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  readonly maxConnections: number;
  /** Time within which a whole request must arrive. */
  readonly requestTimeoutMs: number;
  readonly keepAliveTimeoutMs: number;
}

/** Default limits of the HTTP server. */
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
 * @param options - limits of the server
 * @returns the server, which does not listen yet
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
    // Types are not coerced: a deadline of "5" is an error, not a number.
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
