import { deepEqual, equal } from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { FastifyInstance } from 'fastify';
import type { RequestAnswer } from '../answers/RequestAnswer.ts';
import { toId } from '../lib/ids.ts';
import type { AnswerListener, CallerPort, RequestSubmission } from './CallerPort.ts';
import { createHttpServer } from './createHttpServer.ts';
import { registerCallerRoutes } from './registerCallerRoutes.ts';

const URL = '/v1/pipelines/read/requests';
const REQUEST_ID = 'entry-a1.1';
const COMPLETED: RequestAnswer = {
  kind: 'completed', output: 'abcdef', digest: 'd', costMicros: 7, stages: [],
};

class FakePort implements CallerPort {
  readonly submitted: RequestSubmission[] = [];

  ready = true;

  constructor(readonly sendAnswer: (listener: AnswerListener) => void) {}

  getAccountId(callerKey: string) {
    return callerKey === 'right' ? toId<RequestSubmission['accountId']>('account-1') : null;
  }

  submit(submission: RequestSubmission, listener: AnswerListener) {
    this.submitted.push(submission);
    setImmediate(() => this.sendAnswer(listener));
    return toId<Parameters<CallerPort['handleCallerGone']>[0]>(REQUEST_ID);
  }

  async resume(requestId: string, _accountId: string, listener: AnswerListener) {
    if (requestId !== REQUEST_ID) {
      return false;
    }
    this.sendAnswer(listener);
    return true;
  }

  createTicket(accountId: string) {
    return toId<ReturnType<CallerPort['createTicket']>>(`ticket-of-${accountId}`);
  }

  handleCallerGone(): void {
    this.ready = false;
  }

  isReady(): boolean {
    return this.ready;
  }
}

function createServer(port: CallerPort): FastifyInstance {
  const server = createHttpServer();
  registerCallerRoutes(server, port);
  return server;
}

const HEADERS = { authorization: 'Bearer right', 'content-type': 'application/json' };

describe('the callers\' HTTP face', () => {
  it('answers a whole result with its cost and request id', async () => {
    const port = new FakePort((listener) => listener.onAnswer(COMPLETED));
    const response = await createServer(port).inject({
      method: 'POST', url: URL, headers: HEADERS, payload: { input: 'x' },
    });
    equal(response.statusCode, 200);
    equal(response.headers['parsleylift-request-id'], REQUEST_ID);
    deepEqual(response.json(), {
      requestId: REQUEST_ID, output: 'abcdef', digest: 'd', costMicros: 7, stages: [],
    });
  });

  it('streams chunks once and ends with length and digest', async () => {
    const port = new FakePort((listener) => {
      listener.onChunk(0, 'abc');
      listener.onChunk(0, 'abcd');
      listener.onAnswer(COMPLETED);
    });
    const response = await createServer(port).inject({
      method: 'POST',
      url: URL,
      headers: { ...HEADERS, accept: 'text/event-stream' },
      payload: { input: 'x' },
    });
    const events = response.body.split('\n\n').filter((event) => event !== '')
      .map((event) => JSON.parse(event.split('\ndata: ')[1] ?? '{}') as Record<string, unknown>);
    deepEqual(events.map(({ text, lengthUnits }) => text ?? lengthUnits), ['abc', 'd', 'ef', 6]);
  });

  it('resumes from an offset', async () => {
    const port = new FakePort((listener) => listener.onAnswer(COMPLETED));
    const response = await createServer(port).inject({
      method: 'GET',
      url: `/v1/requests/${REQUEST_ID}?fromOffset=4`,
      headers: { ...HEADERS, accept: 'text/event-stream' },
    });
    equal(response.body.includes('"text":"ef"'), true);
    equal(response.body.includes('abcd'), false);
  });

  const refusals = [
    {
      name: 'no key', headers: {}, payload: { input: 'x' }, status: 401, code: 'unauthenticated',
    },
    {
      name: 'no input', headers: HEADERS, payload: {}, status: 400, code: 'input-invalid',
    },
    {
      name: 'an unknown member',
      headers: HEADERS,
      payload: { input: 'x', y: 1 },
      status: 400,
      code: 'input-invalid',
    },
    {
      name: 'a deadline in words',
      headers: HEADERS,
      payload: { input: 'x', deadlineMs: '5' },
      status: 400,
      code: 'input-invalid',
    },
    {
      name: 'a long key',
      headers: { ...HEADERS, 'idempotency-key': 'k'.repeat(257) },
      payload: { input: 'x' },
      status: 400,
      code: 'input-invalid',
    },
  ];
  refusals.forEach(({
    name, headers, payload, status, code,
  }) => {
    it(`refuses ${name} with problem details, truly not run`, async () => {
      const port = new FakePort(() => undefined);
      const response = await createServer(port).inject({
        method: 'POST', url: URL, headers, payload,
      });
      equal(response.statusCode, status);
      equal(String(response.headers['content-type']).split(';')[0], 'application/problem+json');
      deepEqual([response.json().code, response.json().notRun], [code, true]);
      equal(port.submitted.length, 0);
    });
  });

  it('says not ready, and not unauthenticated, while it knows no keys', async () => {
    const port = new FakePort(() => undefined);
    port.ready = false;
    const response = await createServer(port).inject({
      method: 'POST', url: URL, headers: { authorization: 'Bearer x' }, payload: { input: 'x' },
    });
    equal(response.statusCode, 503);
    equal(response.json().code, 'not-ready');
    equal(response.headers['retry-after'], '1');
  });

  it('tells when to come back', async () => {
    const port = new FakePort((listener) => listener.onAnswer({
      kind: 'refused',
      code: 'overloaded',
      notRun: true,
      retryAfterMs: 1500,
      detail: '',
      costMicros: 0,
      stages: [],
    }));
    const response = await createServer(port).inject({
      method: 'POST', url: URL, headers: HEADERS, payload: { input: 'x' },
    });
    deepEqual([response.statusCode, response.headers['retry-after']], [503, '2']);
  });

  it('mints tickets for the account of the key', async () => {
    const server = createServer(new FakePort(() => undefined));
    const { authorization } = HEADERS;
    const response = await server.inject({
      method: 'POST', url: '/v1/tickets', headers: { authorization },
    });
    deepEqual([response.statusCode, response.json()], [201, { ticket: 'ticket-of-account-1' }]);
    const refused = await server.inject({ method: 'POST', url: '/v1/tickets' });
    equal(refused.statusCode, 401);
  });

  it('knows no request of others', async () => {
    const port = new FakePort(() => undefined);
    const response = await createServer(port).inject({
      method: 'GET', url: '/v1/requests/other', headers: HEADERS,
    });
    deepEqual([response.statusCode, response.json().notRun], [404, false]);
  });
});
