import { request } from 'undici';

interface Example {
  readonly pipelineId: string;
  readonly input: string;
  readonly idempotencyKey: string | null;
}

interface ExampleStage {
  readonly stageId: string;
  readonly upstreamId: string | null;
  readonly durationMs: number;
  readonly costMicros: number;
}

interface ExampleAnswer {
  readonly output?: string;
  readonly code?: string;
  readonly detail?: string;
  readonly costMicros: number;
  readonly stages?: readonly ExampleStage[];
}

const EXAMPLES: readonly Example[] = [
  { pipelineId: 'seat-enquiry', input: 'Which seats are free in row C?', idempotencyKey: null },
  { pipelineId: 'member-letter', input: 'Letter to the Abramson family', idempotencyKey: null },
  { pipelineId: 'seat-confirmation', input: 'Seat C14 for R. Levi', idempotencyKey: 'seat-c14' },
  { pipelineId: 'seat-confirmation', input: 'Seat C14 for R. Levi', idempotencyKey: 'seat-c14' },
];
const MICROS_PER_UNIT = 1e6;
const ID_WIDTH = 18;
const NUMBER_WIDTH = 9;
const MAX_SHOWN_OUTPUT = 72;

function formatStage(stage: ExampleStage): string {
  const duration = `${stage.durationMs.toFixed(1)} ms`.padStart(NUMBER_WIDTH);
  const cost = (stage.costMicros / MICROS_PER_UNIT).toFixed(6);
  return `    ${stage.stageId.padEnd(ID_WIDTH)} ${duration}  ${cost}  ${stage.upstreamId ?? ''}`;
}

async function runExample(httpUrl: string, callerKey: string, example: Example): Promise<boolean> {
  const startedAtMs = performance.now();
  const response = await request(`${httpUrl}/v1/pipelines/${example.pipelineId}/requests`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${callerKey}`,
      'content-type': 'application/json',
      ...(example.idempotencyKey === null ? {} : { 'idempotency-key': example.idempotencyKey }),
    },
    body: JSON.stringify({ input: example.input }),
  });
  const answer = await response.body.json() as ExampleAnswer;
  const durationMs = (performance.now() - startedAtMs).toFixed(1);
  const key = example.idempotencyKey === null ? '' : ` (key ${example.idempotencyKey})`;
  console.log(`\n${example.pipelineId}${key}: "${example.input}"`);
  const cost = `cost ${answer.costMicros} micros`;
  console.log(`  HTTP ${response.statusCode} in ${durationMs} ms, ${cost}`);
  if (answer.output === undefined) {
    console.log(`  ${answer.code}: ${answer.detail}`);
    return false;
  }
  console.log(`  ${answer.output.slice(0, MAX_SHOWN_OUTPUT)}`);
  answer.stages?.forEach((stage) => console.log(formatStage(stage)));
  return true;
}

/**
 * Sends example requests sequentially and prints each answer with its time and cost.
 *
 * @param httpUrl - base address of an entry host
 * @param callerKey - key of a client account
 * @returns the number of failed requests
 */
export async function runExamples(httpUrl: string, callerKey: string): Promise<number> {
  // Run sequentially, so that the requests do not affect each other's times.
  const results = await EXAMPLES.reduce<Promise<boolean[]>>(
    async (earlier, example) => [
      ...await earlier, await runExample(httpUrl, callerKey, example),
    ],
    Promise.resolve([]),
  );
  return results.filter((isSuccessful) => !isSuccessful).length;
}
