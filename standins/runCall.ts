import type { FastifyReply } from 'fastify';
import type { RunningAttempts } from './RunningAttempts.ts';
import { getRetryAfterS, type StandinServer } from './StandinServer.ts';
import { getStageOutput } from './getStandinText.ts';

/** The body of a call to a stage pool or service. */
export interface CallBody {
  readonly attemptId: string;
  readonly accountId: string;
  readonly stageId: string;
  readonly input: string;
}

/** Schema of the body of a call to a stage pool or service. */
export const callBodySchema = {
  type: 'object',
  required: ['attemptId', 'accountId', 'stageId', 'input'],
  properties: {
    attemptId: { type: 'string', minLength: 1 },
    accountId: { type: 'string', minLength: 1 },
    stageId: { type: 'string', minLength: 1 },
    input: { type: 'string' },
  },
} as const;

/** A call, with the stand-in's state that it uses. */
export interface CallContext {
  readonly server: StandinServer;
  readonly running: RunningAttempts;
  readonly body: CallBody;
  readonly idempotencyKey: string | null;
  readonly reply: FastifyReply;
}

function breakConnection(reply: FastifyReply): void {
  reply.hijack();
  reply.raw.socket?.destroy();
}

function truncateAnswer(reply: FastifyReply, answer: object): void {
  const text = JSON.stringify(answer);
  reply.hijack();
  reply.raw.writeHead(200, { 'content-type': 'application/json' });
  reply.raw.end(text.slice(0, text.length / 2));
}

async function sendAnswer(context: CallContext, incarnation: string): Promise<void> {
  const { server, body, reply } = context;
  const { faults, counts, options } = server;
  const costMicros = options.priceMicros;
  const answer = {
    attemptId: body.attemptId,
    incarnation,
    output: getStageOutput(body.stageId, body.input),
    costMicros,
  };
  counts.addBill(body.accountId, body.stageId, costMicros);
  if (faults.consume('fail') !== null) {
    await reply.code(500).send({ ...answer, output: '', detail: 'The fault `fail` is active.' });
  } else if (faults.consume('loseAnswer') !== null) {
    breakConnection(reply);
  } else if (faults.consume('truncate') !== null) {
    truncateAnswer(reply, answer);
  } else if (faults.consume('duplicate') !== null) {
    await reply.send({ ...answer, attemptId: `${body.attemptId}-other` });
  } else {
    await reply.send(answer);
  }
}

/**
 * Runs one call of a stage pool or service and answers it.
 *
 * @param context - see {@link CallContext}
 * @returns resolves when the call is answered or its connection is closed
 */
export async function runCall(context: CallContext): Promise<void> {
  const {
    server, running, body, reply,
  } = context;
  const refusal = await server.admit({ attemptId: body.attemptId, priority: 0 });
  if (refusal !== null) {
    await reply.code(refusal.statusCode)
      .header('retry-after', getRetryAfterS(refusal))
      .send({ notRun: true, detail: refusal.detail });
    return;
  }
  const { incarnation } = server;
  server.counts.addExecution(body.attemptId, context.idempotencyKey, body.input);
  const poison = server.faults.get('poison');
  if (poison !== null && body.input.includes(poison.substring)) {
    server.crash(0);
    reply.hijack();
    return;
  }
  const signal = running.add(body.attemptId);
  const isFinished = await server.spendServiceTime(server.options.serviceMs, signal);
  running.delete(body.attemptId);
  server.release(incarnation);
  if (incarnation !== server.incarnation) {
    reply.hijack();
  } else if (isFinished) {
    await sendAnswer(context, incarnation);
  } else {
    server.counts.addBill(body.accountId, body.stageId, server.options.priceMicros);
    await reply.code(409).send({
      attemptId: body.attemptId,
      incarnation,
      isCancelled: true,
      costMicros: server.options.priceMicros,
    });
  }
}
