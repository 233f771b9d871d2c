import type {
  FastifyError, FastifyInstance, FastifyReply, FastifyRequest,
} from 'fastify';
import { parseIntent } from '../intents/loadIntent.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import { toId, type PlanId } from '../lib/ids.ts';
import { SettingsError } from '../settings/SettingsError.ts';
import { isBasicAuthorized, isBearerAuthorized } from './checkOperatorKey.ts';
import { COST_GROUPING, type CostGrouping } from './CostReport.ts';
import { OPERATOR_PROBLEM } from './OPERATOR_PROBLEM.ts';
import type { OperatorAnswer } from './OperatorAnswer.ts';
import type { OperatorPort } from './OperatorPort.ts';
import { OperatorProblemError } from './OperatorProblemError.ts';
import { createPlanSummary } from './PlanSummary.ts';
import { renderStatusPage } from './renderStatusPage.ts';

const PROBLEM_TYPE = 'application/problem+json';
const INTENT_TYPES = ['application/json', 'application/yaml', 'application/x-yaml', 'text/yaml'];
const MS_PER_SECOND = 1000;

const MISSING_KEY_DETAIL = 'Send the header Authorization: Bearer KEY with the operator key';

/** What the operators' HTTP face works with. */
export interface OperatorRoutesOptions {
  readonly port: OperatorPort;
  readonly operatorKey: string;
  /** Metrics in the text format of Prometheus. */
  readonly getMetrics: () => Promise<string>;
}

interface PlanParams {
  readonly planId: string;
}

interface RequestParams {
  readonly requestId: string;
}

interface CostQuery {
  readonly by?: string;
}

function sendProblem(reply: FastifyReply, error: OperatorProblemError): FastifyReply {
  const { problem } = error;
  if (problem.retryAfterMs !== undefined) {
    reply.header('retry-after', Math.ceil(problem.retryAfterMs / MS_PER_SECOND));
  }
  return reply.code(problem.status).type(PROBLEM_TYPE).send(JSON.stringify(problem));
}

function toProblemError(error: FastifyError | Error): OperatorProblemError {
  if (error instanceof OperatorProblemError) {
    return error;
  }
  if (error instanceof SettingsError) {
    const { findings } = error;
    return new OperatorProblemError(OPERATOR_PROBLEM.intentInvalid, error.message, { findings });
  }
  const statusCode = 'statusCode' in error ? error.statusCode ?? 500 : 500;
  return statusCode < 500
    ? new OperatorProblemError(OPERATOR_PROBLEM.inputInvalid, error.message)
    : new OperatorProblemError(OPERATOR_PROBLEM.internal, 'The host failed; see its log');
}

function sendAnswer(reply: FastifyReply, answer: OperatorAnswer): FastifyReply {
  switch (answer.kind) {
    case 'planProposed':
      return reply.code(201).send(createPlanSummary(answer.plan));
    case 'planAccepted': {
      const { version, inForceHostIds, pendingHostIds } = answer;
      return reply.send({ version, inForceHostIds, pendingHostIds });
    }
    case 'planConflict': {
      const { baseVersion, currentVersion, differences } = answer;
      throw new OperatorProblemError(
        OPERATOR_PROBLEM.planConflict,
        `Nothing was applied: the plan was made for version ${baseVersion}, the configuration is `
        + `at version ${currentVersion}: ${differences.join('; ')}`,
        { baseVersion, currentVersion, differences },
      );
    }
    case 'planUnknown':
      throw new OperatorProblemError(
        OPERATOR_PROBLEM.planUnknown,
        'The plan is not known or has expired; propose the intent again',
      );
    case 'platformUnavailable': {
      const { isOutcomeUnknown, retryAfterMs } = answer;
      throw new OperatorProblemError(
        OPERATOR_PROBLEM.platformUnavailable,
        isOutcomeUnknown
          ? 'The plan may have been accepted; confirm it again to learn it'
          : 'Nothing was changed, since the platform can\'t be reached; try again',
        { isOutcomeUnknown, retryAfterMs },
      );
    }
    default:
      throw exhaustiveSwitchError(answer);
  }
}

function requireBearerKey(operatorKey: string): (request: FastifyRequest) => Promise<void> {
  return async ({ headers }) => {
    if (!isBearerAuthorized(headers.authorization, operatorKey)) {
      throw new OperatorProblemError(OPERATOR_PROBLEM.unauthenticated, MISSING_KEY_DETAIL);
    }
  };
}

function requireBearerOrBasicKey(
  operatorKey: string,
): (request: FastifyRequest, reply: FastifyReply) => Promise<void> {
  return async ({ headers }, reply) => {
    if (!isBearerAuthorized(headers.authorization, operatorKey)
      && !isBasicAuthorized(headers.authorization, operatorKey)) {
      reply.header('www-authenticate', 'Basic realm="parsleylift operators"');
      throw new OperatorProblemError(OPERATOR_PROBLEM.unauthenticated, MISSING_KEY_DETAIL);
    }
  };
}

function isCostGrouping(by: string): by is CostGrouping {
  return Object.values<string>(COST_GROUPING).includes(by);
}

function addPlanRoutes(scope: FastifyInstance, port: OperatorPort): void {
  scope.post<{ Body: string }>('/operator/v1/plans', async ({ body }, reply) => {
    const intent = parseIntent('intent', body);
    return sendAnswer(reply, await port.call({ kind: 'proposeIntent', intent }));
  });
  scope.post<{ Params: PlanParams }>(
    '/operator/v1/plans/:planId/confirm',
    async ({ params }, reply) => {
      const planId = toId<PlanId>(params.planId);
      return sendAnswer(reply, await port.call({ kind: 'confirmPlan', planId }));
    },
  );
}

function addReadRoutes(scope: FastifyInstance, port: OperatorPort): void {
  scope.get('/operator/v1/status', async () => port.getStatus());
  scope.get<{ Querystring: CostQuery }>('/operator/v1/cost', async ({ query }) => {
    const { by = COST_GROUPING.stage } = query;
    if (!isCostGrouping(by)) {
      throw new OperatorProblemError(
        OPERATOR_PROBLEM.inputInvalid,
        `by=${by}: give ${Object.values(COST_GROUPING).join(' or ')}`,
      );
    }
    return port.getCost(by);
  });
  scope.get<{ Params: RequestParams }>(
    '/operator/v1/requests/:requestId/explanation',
    async ({ params }) => {
      const explanation = port.explain(params.requestId);
      if (explanation === null) {
        throw new OperatorProblemError(
          OPERATOR_PROBLEM.requestUnknown,
          'This host does not know the request; ask the host that took it, named before the dot '
          + 'in its id',
        );
      }
      return explanation;
    },
  );
}

function addPageRoutes(scope: FastifyInstance, options: OperatorRoutesOptions): void {
  const onRequest = requireBearerOrBasicKey(options.operatorKey);
  scope.get('/operator/status', { onRequest }, async (_request, reply) => reply
    .type('text/html; charset=utf-8')
    .header('cache-control', 'no-store')
    .header('content-security-policy', "default-src 'none'; style-src 'unsafe-inline'")
    .header('x-content-type-options', 'nosniff')
    .send(renderStatusPage(options.port.getStatus())));
  scope.get('/metrics', { onRequest }, async (_request, reply) => reply
    .type('text/plain; version=0.0.4; charset=utf-8')
    .send(await options.getMetrics()));
}

/**
 * Adds the operators' routes: plans, status, cost, explanations, the status page and metrics.
 *
 * @param server - the HTTP server
 * @param options - the host behind it, the key and the metrics
 */
export function registerOperatorRoutes(
  server: FastifyInstance,
  options: OperatorRoutesOptions,
): void {
  server.register(async (scope) => {
    scope.removeAllContentTypeParsers();
    // The text is kept, so that findings name line and column of what the operator sent.
    scope.addContentTypeParser(INTENT_TYPES, { parseAs: 'string' }, (_request, body, done) => {
      done(null, body);
    });
    scope.setErrorHandler((error: FastifyError, request, reply) => {
      const problemError = toProblemError(error);
      if (problemError.problem.status >= 500 && !(error instanceof OperatorProblemError)) {
        request.log.error(error);
      }
      return sendProblem(reply, problemError);
    });
    await scope.register(async (bearerScope) => {
      bearerScope.addHook('onRequest', requireBearerKey(options.operatorKey));
      addPlanRoutes(bearerScope, options.port);
      addReadRoutes(bearerScope, options.port);
    });
    addPageRoutes(scope, options);
  });
}
