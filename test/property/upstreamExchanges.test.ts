import { ok } from 'node:assert/strict';
import {
  after, before, describe, it,
} from 'node:test';
import fc from 'fast-check';
import { PlatformUpstreamProtocol } from '../../platform/PlatformUpstreamProtocol.ts';
import { toId, type UpstreamId } from '../../src/lib/ids.ts';
import { sendAttempt, type AttemptResult } from '../../src/relay/sendAttempt.ts';
import { UpstreamConnections } from '../../src/upstreams/UpstreamConnections.ts';
import { createCallerRequest } from '../support/createCallerRequest.ts';
import {
  getScriptedBody, isCutAnswer, ScriptedUpstream, type ScriptedAnswer,
} from '../support/ScriptedUpstream.ts';

const SEED = 20_261_205;
/** Sequences in every test run; `EXCHANGE_RUNS` sets more by hand. */
const RUNS = Number(process.env.EXCHANGE_RUNS ?? 1_000);
const DETAILS = {
  upstreamId: toId<UpstreamId>('u'),
  remainingMs: 1_000,
  account: null,
  priority: 0,
  inputs: [],
  lastEventId: null,
};

const answers = fc.array(fc.record<ScriptedAnswer>({
  status: fc.constantFrom('ok', 'ok', 'refused', 'failed'),
  framing: fc.constantFrom('length', 'chunks', 'none'),
  informationalCount: fc.nat(2),
  partCount: fc.integer({ min: 1, max: 4 }),
  ending: fc.constantFrom(
    'open',
    'open',
    'close',
    'cut',
    'reset',
    'resetLater',
    'restart',
    'silent',
    'copyAtOnce',
    'copyBeforeNext',
  ),
}), { minLength: 1, maxLength: 6 });

/** What a host knows of one send. */
interface Outcome {
  readonly end: AttemptResult;
  readonly text: string;
  readonly hasArrived: boolean;
}

/** Describes how an outcome says more than the upstream did; null when it does not. */
function findFalseClaim(
  requestId: string,
  answer: ScriptedAnswer,
  { end, text, hasArrived }: Outcome,
): string | null {
  if (end.kind === 'notSent') {
    return hasArrived ? 'a request that arrived counts as not sent' : null;
  }
  if (end.kind === 'broken') {
    return null;
  }
  const isWhole = text === getScriptedBody(requestId, answer);
  if (end.isEndMarked) {
    return isWhole && answer.framing !== 'none' && !isCutAnswer(answer)
      ? null
      : 'an answer counts as marked whole';
  }
  // Without a mark, an upstream that lives on and closes in order has ended its answer.
  return answer.framing === 'none' && (answer.ending === 'cut' || isWhole)
    && !['reset', 'resetLater', 'restart', 'silent'].includes(answer.ending)
    ? null
    : 'an answer without a mark counts as whole';
}

describe('sendAttempt with drawn answers', () => {
  const upstream = new ScriptedUpstream();
  let requestCount = 0;

  before(async () => upstream.listen());

  after(() => upstream.close());

  function send(connections: UpstreamConnections, requestId: string): Promise<Outcome> {
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      upstream.hasRestarted = false;
      const running = sendAttempt(
        connections.get(upstream.url),
        new PlatformUpstreamProtocol(),
        createCallerRequest(requestId),
        DETAILS,
        {
          mayStart: () => true,
          checkUnmarkedEnd: async () => !upstream.hasRestarted,
          onHead: () => {},
          onData: (chunk) => chunks.push(chunk),
          onEnd: (end) => resolve({
            end,
            text: Buffer.concat(chunks).toString(),
            hasArrived: upstream.arrivedIds.includes(requestId),
          }),
        },
      );
      upstream.onSilent = () => running.abort('silent');
    });
  }

  /** Sends one request after the other over one connection; returns the false claims. */
  async function run(script: readonly ScriptedAnswer[]): Promise<string[]> {
    const connections = new UpstreamConnections({ maxConnections: 1 });
    const claims: string[] = [];
    upstream.setScript(script);
    let isAnswering = true;
    for (let index = 0; isAnswering && index < script.length; index += 1) {
      const answer = script[index] as ScriptedAnswer;
      requestCount += 1;
      const requestId = `r${requestCount}`;
      // eslint-disable-next-line no-await-in-loop -- one exchange after the other
      const outcome = await send(connections, requestId);
      const claim = findFalseClaim(requestId, answer, outcome);
      claims.push(...claim === null ? [] : [`${claim}: ${JSON.stringify({ answer, outcome })}`]);
      // Otherwise the next request would get the answer that was drawn for this one.
      isAnswering = outcome.hasArrived;
    }
    await connections.close();
    upstream.closeConnections();
    return claims;
  }

  it('claims no more of an answer than its upstream has shown', async () => {
    await fc.assert(fc.asyncProperty(answers, async (script) => {
      const claims = await run(script);
      ok(claims.length === 0, claims.join('\n'));
    }), { seed: SEED, numRuns: RUNS });
  });
});
