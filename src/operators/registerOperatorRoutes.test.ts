import {
  deepEqual, equal, match, ok,
} from 'node:assert/strict';
import { describe, it } from 'node:test';
import fastify, { type FastifyInstance, type InjectOptions } from 'fastify';
import { createSampleConfiguration } from '../../test/support/createSampleConfiguration.ts';
import { createSampleStatus } from '../../test/support/createSampleStatus.ts';
import { createPlan } from '../intents/createPlan.ts';
import { EMPTY_FLEET_STATE } from '../intents/FleetState.ts';
import { toId } from '../lib/ids.ts';
import type { HostStatus } from './HostStatus.ts';
import type { OperatorAnswer } from './OperatorAnswer.ts';
import type { OperatorCall } from './OperatorCall.ts';
import type { OperatorProblem } from './OperatorProblemError.ts';
import { registerOperatorRoutes } from './registerOperatorRoutes.ts';
import { renderStatusPage } from './renderStatusPage.ts';

const KEY = 'hunter2';
const BEARER = { authorization: `Bearer ${KEY}` };
const BASIC = { authorization: `Basic ${Buffer.from(`me:${KEY}`).toString('base64')}` };
const JSON_TYPE = { 'content-type': 'application/json' };
const ACCEPTED: OperatorAnswer = {
  kind: 'planAccepted', version: 2, inForceHostIds: [toId('a1')], pendingHostIds: [toId('b1')],
};

interface Fixture {
  readonly server: FastifyInstance;
  readonly calls: OperatorCall[];
}

function createServer(answer: OperatorAnswer = ACCEPTED): Fixture {
  const server = fastify();
  const calls: OperatorCall[] = [];
  registerOperatorRoutes(server, {
    operatorKey: KEY,
    getMetrics: () => Promise.resolve('# HELP one\n'),
    port: {
      call: (call) => {
        calls.push(call);
        return Promise.resolve(answer);
      },
      getStatus: createSampleStatus,
      getCost: (by) => Promise.resolve({
        by, rows: [], totalMicros: 0, isWholeFleet: true,
      }),
      explain: (requestId) => (requestId === 'known'
        ? {
          requestId, accountId: 'shul-1', pipelineId: 'seating', outcome: 'completed', lines: [],
        }
        : null),
    },
  });
  return { server, calls };
}

interface ProblemCase {
  readonly name: string;
  readonly options: InjectOptions;
  readonly answer?: OperatorAnswer;
  readonly status: number;
  readonly code: string;
  readonly detail?: RegExp;
}

const CONFIRM: InjectOptions = {
  method: 'POST', url: '/operator/v1/plans/p/confirm', headers: BEARER,
};
const PROPOSE: InjectOptions = { method: 'POST', url: '/operator/v1/plans' };

const PROBLEM_CASES: readonly ProblemCase[] = [
  ...['/operator/v1/status', '/operator/v1/cost', '/operator/status', '/metrics']
    .flatMap((url): ProblemCase[] => [{}, { authorization: 'Bearer hunter3' }].map((headers) => ({
      name: `${url} ${JSON.stringify(headers)}`,
      options: { url, headers },
      status: 401,
      code: 'operator-unauthenticated',
    }))),
  {
    name: 'a confirmation with the key that a browser repeats by itself',
    options: { ...CONFIRM, headers: BASIC },
    status: 401,
    code: 'operator-unauthenticated',
  },
  {
    name: 'an intent with findings',
    options: {
      ...PROPOSE,
      headers: { ...BEARER, 'content-type': 'application/yaml' },
      payload: 'drain:\n  - kind: planet\n    id: x\nreasn: y\n',
    },
    status: 400,
    code: 'intent-invalid',
    detail: /intent:2:11: drain\[0\]\.kind: must be "host".*\nintent:4:1: reasn: .*reason/,
  },
  {
    name: 'an intent of an unknown content type',
    options: { ...PROPOSE, headers: { ...BEARER, 'content-type': 'text/plain' }, payload: 'x' },
    status: 400,
    code: 'input-invalid',
  },
  {
    name: 'a plan that came second',
    options: CONFIRM,
    answer: {
      kind: 'planConflict', baseVersion: 1, currentVersion: 2, differences: ['drain host a1'],
    },
    status: 409,
    code: 'plan-conflict',
    detail: /Nothing was applied.*version 1.*version 2: drain host a1/,
  },
  {
    name: 'an unknown plan',
    options: CONFIRM,
    answer: { kind: 'planUnknown' },
    status: 404,
    code: 'plan-unknown',
    detail: /propose the intent again/,
  },
  {
    name: 'a confirmation that may have been accepted',
    options: CONFIRM,
    answer: { kind: 'platformUnavailable', isOutcomeUnknown: true, retryAfterMs: 1500 },
    status: 503,
    code: 'platform-unavailable',
    detail: /may have been accepted; confirm it again/,
  },
  {
    name: 'an unknown grouping',
    options: { url: '/operator/v1/cost?by=day', headers: BEARER },
    status: 400,
    code: 'input-invalid',
    detail: /stage or account/,
  },
  {
    name: 'an unknown request',
    options: { url: '/operator/v1/requests/x/explanation', headers: BEARER },
    status: 404,
    code: 'request-unknown',
  },
];

describe('registerOperatorRoutes', () => {
  PROBLEM_CASES.forEach((expected) => {
    it(`answers ${expected.name} with ${expected.code}`, async () => {
      const { server, calls } = createServer(expected.answer);
      const response = await server.inject(expected.options);
      equal(response.statusCode, expected.status);
      match(response.headers['content-type'] as string, /^application\/problem\+json/);
      const problem = response.json<OperatorProblem>();
      equal(problem.code, expected.code);
      equal(problem.status, expected.status);
      match(problem.detail, expected.detail ?? /./s);
      ok(!response.body.includes(KEY));
      equal(calls.length, expected.answer === undefined ? 0 : 1);
    });
  });

  it('says when to come back', async () => {
    const answer = {
      kind: 'platformUnavailable' as const, isOutcomeUnknown: false, retryAfterMs: 1500,
    };
    const response = await createServer(answer).server.inject(CONFIRM);
    equal(response.headers['retry-after'], '2');
  });

  it('takes YAML and JSON, and shows the plan without the configuration', async () => {
    const configuration = createSampleConfiguration();
    const plan = createPlan({
      planId: toId('p'), intent: {}, configuration, fleetState: EMPTY_FLEET_STATE,
    });
    const { server, calls } = createServer({ kind: 'planProposed', plan });
    const payloads = [
      { type: 'application/yaml', payload: 'drain: [{ kind: host, id: a1 }]' },
      { type: 'application/json', payload: '{"drain":[{"kind":"host","id":"a1"}]}' },
    ];
    const responses = await Promise.all(payloads.map(({ type, payload }) => server.inject({
      ...PROPOSE, headers: { ...BEARER, 'content-type': type }, payload,
    })));
    deepEqual(responses.map(({ statusCode }) => statusCode), [201, 201]);
    const [response] = responses;
    equal(response?.json<{ planId: string }>().planId, 'p');
    ok(!response.body.includes('keySha256'));
    const intent = { drain: [{ kind: 'host', id: 'a1' }] };
    deepEqual(calls, [{ kind: 'proposeIntent', intent }, { kind: 'proposeIntent', intent }]);
  });

  it('confirms a plan', async () => {
    const { server, calls } = createServer();
    const response = await server.inject(CONFIRM);
    deepEqual(
      response.json(),
      { version: 2, inForceHostIds: ['a1'], pendingHostIds: ['b1'] },
    );
    deepEqual(calls, [{ kind: 'confirmPlan', planId: 'p' }]);
  });

  it('gives status, cost, explanation, page and metrics', async () => {
    const { server } = createServer();
    const get = async (url: string, headers = BEARER): Promise<string> => {
      const response = await server.inject({ url, headers });
      equal(response.statusCode, 200);
      return response.body;
    };
    deepEqual(JSON.parse(await get('/operator/v1/status')), createSampleStatus());
    match(await get('/operator/v1/cost?by=account'), /"by":"account"/);
    match(await get('/operator/v1/requests/known/explanation'), /"outcome":"completed"/);
    match(await get('/operator/status', BASIC), /^<!doctype html>/);
    match(await get('/metrics', BASIC), /# HELP/);
  });

  it('keeps its parsers and errors to itself', async () => {
    const { server } = createServer();
    server.post('/other', async ({ body }) => ({ body }));
    const response = await server.inject({
      method: 'POST', url: '/other', headers: JSON_TYPE, payload: '{"a":1}',
    });
    deepEqual(response.json(), { body: { a: 1 } });
  });
});

describe('renderStatusPage', () => {
  it('escapes every text of the status', () => {
    const markup = '<script>"&\'';
    const replaceTexts = (value: unknown): unknown => {
      if (Array.isArray(value)) {
        return value.map(replaceTexts);
      }
      if (typeof value === 'object' && value !== null) {
        return Object.fromEntries(Object.entries(value)
          .map(([key, member]) => [key, replaceTexts(member)]));
      }
      return typeof value === 'string' ? markup : value;
    };
    const status = replaceTexts(createSampleStatus()) as HostStatus;
    const page = renderStatusPage(status) + renderStatusPage({ ...status, isReady: false });
    ok(!page.includes('<script'));
    ok(!page.includes('"&\''));
    match(page, /&lt;script&gt;&quot;&amp;&#39;/);
  });
});
