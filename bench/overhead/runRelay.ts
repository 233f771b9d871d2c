import { randomBytes } from 'node:crypto';
import { fastify } from 'fastify';
import { Pool } from 'undici';

/*
 * A relay that makes the calls of the pipeline one after the other, round robin and without other
 * logic. Its argument is a JSON array of the stages, each with its kind and its upstreams' URLs.
 */
interface RelayStage {
  readonly id: string;
  readonly kind: 'stagePool' | 'engine';
  readonly urls: readonly string[];
}

const CONNECTIONS = 256;
const ID_BYTES = 16;
const DATA_PREFIX = 'data: ';
const stages = JSON.parse(process.argv[2] ?? '[]') as RelayStage[];
const pools = stages.map((stage) => stage.urls.map((url) => (
  new Pool(url, { connections: CONNECTIONS, pipelining: 1 })
)));
let turn = 0;

async function callStage(index: number, stage: RelayStage, input: string): Promise<string> {
  const stagePools = pools[index] ?? [];
  const pool = stagePools[turn % stagePools.length];
  const attempt = {
    attemptId: randomBytes(ID_BYTES).toString('hex'), accountId: 'account-1', stageId: stage.id,
  };
  const isEngine = stage.kind === 'engine';
  const response = await pool!.request({
    method: 'POST',
    path: isEngine ? '/v1/generate' : '/v1/run',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(isEngine ? { ...attempt, prompt: input } : { ...attempt, input }),
  });
  if (!isEngine) {
    return (await response.body.json() as { output: string }).output;
  }
  return (await response.body.text()).split('\n\n')
    .filter((event) => event.startsWith(DATA_PREFIX))
    .map((event) => (JSON.parse(event.slice(DATA_PREFIX.length)) as { text?: string }).text ?? '')
    .join('');
}

const server = fastify();
server.post<{ Body: { input: string } }>('/v1/pipelines/relay/requests', async (request) => {
  turn += 1;
  const output = await stages.reduce(
    async (input, stage, index) => callStage(index, stage, await input),
    Promise.resolve(request.body.input),
  );
  return { output };
});
console.log(JSON.stringify({ url: await server.listen({ host: '127.0.0.1', port: 0 }) }));
process.once('SIGTERM', () => process.exit(0));
