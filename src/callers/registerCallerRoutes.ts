import type {
  FastifyInstance, FastifyReply, FastifyRequest,
} from 'fastify';
import { REFUSAL_CODE, type RefusalCode } from '../answers/REFUSAL_CODE.ts';
import {
  toId, type AccountId, type IdempotencyKey, type PipelineId, type RequestId,
} from '../lib/ids.ts';
import type { AnswerListener, CallerPort, RequestSubmission } from './CallerPort.ts';
import { createProblem } from './createProblem.ts';
import { StreamAnswerWriter } from './StreamAnswerWriter.ts';
import { PROBLEM_TYPE, WholeAnswerWriter } from './WholeAnswerWriter.ts';

const BEARER_PREFIX = 'Bearer ';
const UNAUTHENTICATED_DETAIL = 'Send the header Authorization: Bearer KEY with the key of a client '
  + 'account';
const EVENT_STREAM = 'text/event-stream';
const MAX_INPUT_LENGTH = 256 * 1024;
const NOT_READY_RETRY_AFTER_SECONDS = 1;
const MAX_KEY_LENGTH = 256;

interface SubmitBody {
  readonly input: string;
  readonly deadlineMs?: number;
}

const SUBMIT_SCHEMA = {
  params: {
    type: 'object',
    properties: { pipelineId: { type: 'string', minLength: 1, maxLength: 128 } },
  },
  body: {
    type: 'object',
    required: ['input'],
    additionalProperties: false,
    properties: {
      input: { type: 'string', maxLength: MAX_INPUT_LENGTH },
      deadlineMs: { type: 'integer', minimum: 1 },
    },
  },
} as const;

const RESUME_SCHEMA = {
  querystring: {
    type: 'object',
    properties: { fromOffset: { type: 'string', pattern: '^[0-9]{1,9}$' } },
  },
} as const;

type AnswerWriter = WholeAnswerWriter | StreamAnswerWriter;

function sendProblem(reply: FastifyReply, code: RefusalCode, detail: string): FastifyReply {
  const problem = createProblem({
    code, notRun: true, retryAfterMs: null, detail, costMicros: 0,
  }, null);
  return reply.code(problem.status).type(PROBLEM_TYPE).send(JSON.stringify(problem));
}

function sendUnauthenticated(port: CallerPort, reply: FastifyReply): FastifyReply {
  if (port.isReady()) {
    return sendProblem(reply, REFUSAL_CODE.unauthenticated, UNAUTHENTICATED_DETAIL);
  }
  // A host without a configuration knows no keys, which says nothing about this one.
  reply.header('retry-after', NOT_READY_RETRY_AFTER_SECONDS);
  return sendProblem(reply, REFUSAL_CODE.notReady, 'This host is not ready; ask again');
}

function getAccountId(port: CallerPort, request: FastifyRequest): AccountId | null {
  const header = request.headers.authorization ?? '';
  return header.startsWith(BEARER_PREFIX)
    ? port.getAccountId(header.slice(BEARER_PREFIX.length))
    : null;
}

function getHeader(request: FastifyRequest, name: string): string | null {
  const value = request.headers[name];
  return typeof value === 'string' && value !== '' ? value : null;
}

function createWriter(request: FastifyRequest, reply: FastifyReply, fromOffset: number): AnswerWriter {
  return getHeader(request, 'accept')?.includes(EVENT_STREAM) === true
    ? new StreamAnswerWriter(reply, fromOffset)
    : new WholeAnswerWriter(reply);
}

function watchForClose(
  port: CallerPort,
  reply: FastifyReply,
  requestId: RequestId,
  listener: AnswerListener,
): void {
  reply.raw.once('close', () => {
    if (!reply.raw.writableFinished) {
      port.handleCallerGone(requestId, listener);
    }
  });
}

function submitRequest(
  port: CallerPort,
  request: FastifyRequest<{ Params: { pipelineId: string }; Body: SubmitBody }>,
  reply: FastifyReply,
): FastifyReply {
  const accountId = getAccountId(port, request);
  if (accountId === null) {
    return sendUnauthenticated(port, reply);
  }
  const key = getHeader(request, 'idempotency-key');
  if (key !== null && key.length > MAX_KEY_LENGTH) {
    const detail = `Idempotency-Key has ${key.length} characters; ${MAX_KEY_LENGTH} are allowed`;
    return sendProblem(reply, REFUSAL_CODE.inputInvalid, detail);
  }
  const submission: RequestSubmission = {
    accountId,
    pipelineId: toId<PipelineId>(request.params.pipelineId),
    idempotencyKey: key === null ? null : toId<IdempotencyKey>(key),
    input: request.body.input,
    deadlineMs: request.body.deadlineMs ?? null,
    traceparent: getHeader(request, 'traceparent') ?? '',
  };
  const writer = createWriter(request, reply, 0);
  const requestId = port.submit(submission, writer);
  watchForClose(port, reply, requestId, writer);
  writer.start(requestId);
  return reply;
}

function getFromOffset(
  request: FastifyRequest<{ Querystring: { fromOffset?: string } }>,
): number {
  // A browser's event source names the last event it saw, which is the offset that follows it.
  return Number(request.query.fromOffset ?? getHeader(request, 'last-event-id') ?? 0) || 0;
}

async function resumeRequest(
  port: CallerPort,
  request: FastifyRequest<{
    Params: { requestId: string }; Querystring: { fromOffset?: string };
  }>,
  reply: FastifyReply,
): Promise<FastifyReply> {
  const accountId = getAccountId(port, request);
  if (accountId === null) {
    return sendUnauthenticated(port, reply);
  }
  const requestId = toId<RequestId>(request.params.requestId);
  const writer = createWriter(request, reply, getFromOffset(request));
  const isKnown = await port.resume(requestId, accountId, writer);
  if (!isKnown) {
    const problem = createProblem({
      code: REFUSAL_CODE.requestUnknown,
      // The request may have run and been forgotten, or run at a host that is gone.
      notRun: false,
      retryAfterMs: null,
      detail: 'The request is not known, or its answer was forgotten',
      costMicros: 0,
    }, requestId);
    return reply.code(problem.status).type(PROBLEM_TYPE).send(JSON.stringify(problem));
  }
  writer.start(requestId);
  return reply;
}

/**
 * Adds the routes for callers: submit, resume, tickets, liveness and readiness.
 *
 * @param server - the HTTP server
 * @param port - the host behind it
 */
export function registerCallerRoutes(server: FastifyInstance, port: CallerPort): void {
  server.post<{ Params: { pipelineId: string }; Body: SubmitBody }>(
    '/v1/pipelines/:pipelineId/requests',
    { schema: SUBMIT_SCHEMA },
    (request, reply) => submitRequest(port, request, reply),
  );
  server.get<{ Params: { requestId: string }; Querystring: { fromOffset?: string } }>(
    '/v1/requests/:requestId',
    { schema: RESUME_SCHEMA },
    (request, reply) => resumeRequest(port, request, reply),
  );
  server.post('/v1/tickets', (request, reply) => {
    const accountId = getAccountId(port, request);
    return accountId === null
      ? sendUnauthenticated(port, reply)
      : reply.code(201).send({ ticket: port.createTicket(accountId) });
  });
  server.get('/healthz', () => ({ isAlive: true }));
  server.get('/readyz', (_request, reply) => (
    reply.code(port.isReady() ? 200 : 503).send({ isReady: port.isReady() })
  ));
}
