import { createSampleConfiguration } from '../test/support/createSampleConfiguration.ts';
import { FakeCoreContext } from '../test/support/FakeCoreContext.ts';
import type { ConfigurationRecord } from '../src/configuration/records/ConfigurationRecord.ts';
import type { Core } from '../src/core/Core.ts';
import { toId } from '../src/lib/ids.ts';
import { createHostCore } from '../src/serve/createHostCore.ts';
import { encodeFrame } from '../src/peers/encodeFrame.ts';
import { frameCodec } from '../src/peers/frameCodec.ts';
import { PEER_PROTOCOL } from '../src/peers/PEER_PROTOCOL.ts';
import type {
  BenchCell, BenchOptions, BenchReport, BenchTable,
} from './Bench.ts';

const BYTES_PER_KB = 1024;
const BYTES_PER_MB = 1024 * BYTES_PER_KB;
const DOMAIN_COUNT = 6;
const MEMBER_COUNT = 330;
const UPSTREAM_COUNT = 890;
const ACCOUNT_COUNT = 7300;
const RECORD_COUNT = 2000;
/** Requests in flight at one of 330 hosts: 5,100 a second for 6 s each, over the hosts. */
const REQUEST_COUNT = 100;
const REQUEST_SAMPLE = 2000;
const INPUT_LENGTH = 2000;
const CONTROL_TARGET_MB = 64;
const LIFETIME_MS = 600_000;

function readHeapBytes(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function getDomainId(index: number): string {
  return `domain-${index % DOMAIN_COUNT}`;
}

function createConfiguration(upstreamCount: number, accountCount: number): ConfigurationRecord {
  const sample = createSampleConfiguration();
  const [account] = sample.accounts;
  return JSON.parse(JSON.stringify({
    ...sample,
    version: sample.version + upstreamCount + accountCount,
    upstreams: Array.from({ length: upstreamCount }, (_, index) => ({
      id: `upstream-${index}`,
      poolId: sample.pools[index % sample.pools.length]?.id,
      failureDomainId: getDomainId(index),
      url: `http://10.0.${index % 250}.${Math.floor(index / 250)}:9000`,
    })),
    accounts: Array.from({ length: accountCount }, (_, index) => ({
      ...account, id: `account-${index}`, keySha256: String(index).padStart(64, '0'),
    })),
  })) as ConfigurationRecord;
}

/** One measured step: what was added and what the heap grew by. */
class HeapRecorder {
  readonly rows: BenchCell[][] = [];

  totalBytes = 0;

  #beforeBytes = readHeapBytes();

  record(name: string, sampleCount: number, targetCount: number): void {
    const afterBytes = readHeapBytes();
    const bytesPerItem = (afterBytes - this.#beforeBytes) / sampleCount;
    this.#beforeBytes = afterBytes;
    this.totalBytes += bytesPerItem * targetCount;
    this.rows.push([
      name,
      sampleCount,
      Number((bytesPerItem / BYTES_PER_KB).toFixed(3)),
      targetCount,
      Number(((bytesPerItem * targetCount) / BYTES_PER_MB).toFixed(3)),
    ]);
  }
}

function submitRequests(core: Core, context: FakeCoreContext, pipelineId: string): number {
  let answeredCount = 0;
  Array.from({ length: REQUEST_SAMPLE }).forEach((_, index) => {
    core.step([{
      kind: 'requestSubmitted',
      requestId: toId(`request-${index}`),
      accountId: toId(`account-${index}`),
      pipelineId: toId(pipelineId),
      idempotencyKey: null,
      input: String(index).padStart(INPUT_LENGTH, 'x'),
      deadlineMs: LIFETIME_MS,
      traceparent: '',
    }]);
    answeredCount += context.takeOutputs()
      .filter(({ kind }) => kind === 'answerRequest').length;
  });
  return answeredCount;
}

function addMembers(core: Core): void {
  core.step([{
    kind: 'hostListRead',
    hosts: Array.from({ length: MEMBER_COUNT }, (_, index) => ({
      hostId: toId(`entry-${index}`),
      incarnationId: toId(String(index).padStart(32, '0')),
      failureDomainId: toId(getDomainId(index)),
      peerAddress: `10.1.${index % 250}.${Math.floor(index / 250)}:7000`,
      isLeaving: false,
    })),
  }]);
}

function addRecords(core: Core): void {
  Array.from({ length: RECORD_COUNT }).forEach((_, index) => {
    const key = String(index).padStart(64, '0');
    core.fleet?.gossip.publish('suspect', key, 'x'.repeat(40), LIFETIME_MS);
  });
}

/** The size of the whole configuration, which travels once to each host at each change today. */
function measureConfiguration(): BenchTable {
  const configuration = createConfiguration(UPSTREAM_COUNT, ACCOUNT_COUNT);
  const startedAtMs = performance.now();
  const frame = encodeFrame(configuration);
  const encodedAtMs = performance.now();
  frameCodec.decode(frame.subarray(PEER_PROTOCOL.lengthPrefixBytes));
  const decodedAtMs = performance.now();
  return {
    title: `Configuration with ${UPSTREAM_COUNT} upstreams and ${ACCOUNT_COUNT} accounts`,
    columns: ['JSON KB', 'CBOR KB', 'encode ms', 'decode ms'],
    rows: [[
      Math.round(JSON.stringify(configuration).length / BYTES_PER_KB),
      Math.round(frame.length / BYTES_PER_KB),
      Number((encodedAtMs - startedAtMs).toFixed(1)),
      Number((decodedAtMs - encodedAtMs).toFixed(1)),
    ]],
  };
}

/**
 * Measures the heap that one host's control state takes at the target's table sizes.
 *
 * @param options - the seed
 * @returns bytes for each member, upstream, account, record and request in flight
 */
export async function runMemory(options: BenchOptions): Promise<BenchReport> {
  const context = new FakeCoreContext('entry-0', undefined, options.seed);
  Object.assign(context.self, { failureDomainId: getDomainId(0) });
  const core = createHostCore(context, context.clock);
  core.setConfiguration(createConfiguration(2, 1));
  const heapRecorder = new HeapRecorder();
  addMembers(core);
  context.takeOutputs();
  heapRecorder.record('member', MEMBER_COUNT, MEMBER_COUNT);
  core.setConfiguration(createConfiguration(UPSTREAM_COUNT, 1));
  context.takeOutputs();
  heapRecorder.record('upstream', UPSTREAM_COUNT, UPSTREAM_COUNT);
  core.setConfiguration(createConfiguration(UPSTREAM_COUNT, ACCOUNT_COUNT));
  context.takeOutputs();
  heapRecorder.record('account', ACCOUNT_COUNT, ACCOUNT_COUNT);
  addRecords(core);
  heapRecorder.record('record (suspect)', RECORD_COUNT, RECORD_COUNT);
  const pipelineId = core.getConfiguration().pipelines[0]?.id ?? '';
  const answeredCount = submitRequests(core, context, pipelineId);
  const name = `request of ${INPUT_LENGTH} characters, ${answeredCount} of the sample refused`;
  heapRecorder.record(name, REQUEST_SAMPLE, REQUEST_COUNT);
  const totalMb = Number((heapRecorder.totalBytes / BYTES_PER_MB).toFixed(2));
  return {
    name: 'memory',
    seed: options.seed,
    tables: [{
      title: 'Heap of one core at the target size',
      columns: ['what', 'sample', 'KB each', 'number at the target', 'MB at the target'],
      rows: heapRecorder.rows,
    }, measureConfiguration()],
    targets: [{
      name: 'control state of one host',
      target: `<= ${CONTROL_TARGET_MB} MB`,
      measured: totalMb,
      isMet: totalMb <= CONTROL_TARGET_MB,
    }],
  };
}
