import { equal, ok } from 'node:assert/strict';
import type { Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { RelayTestBed, type UpstreamHandler } from '../../test/support/RelayTestBed.ts';
import { MAX_EXCHANGE_BYTES } from '../upstreams/createConnector.ts';

/** Data that loopback sockets may buffer in addition to what a host reads. */
const SOCKET_BYTES = 16 * 1024 * 1024;
const REQUEST_COUNT = 6;
/** Streams that stall at once, inside an event of this size. */
const STALLED_COUNT = 300;
const STALLED_EVENT_BYTES = 896 * 1024;
/** A host has 350 MB, of which its heap and its program take a half. */
const MAX_STALLED_BYTES = 150 * 1024 * 1024;
const BLOCK = Buffer.alloc(64 * 1024, 'x');

/** Data that an upstream sends once, and data that it then repeats without end. */
interface Flood {
  readonly head: string;
  readonly more: Buffer;
}

type FloodMaker = (requestId: string) => Flood;

function createHead(requestId: string, lines: readonly string[]): string {
  return ['HTTP/1.1 200 OK', `X-Request-Id: ${requestId}`, ...lines, '', ''].join('\r\n');
}

const CHUNKED = 'Transfer-Encoding: chunked';
const EVENTS = 'Content-Type: text/event-stream';
const CHUNK = Buffer.concat([Buffer.from('10000\r\n'), BLOCK, Buffer.from('\r\n')]);
const TINY_CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(4_096));
const INFORMATIONAL = Buffer.from('HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'.repeat(512));

const FLOODS: readonly (readonly [string, FloodMaker])[] = [
  ['a status line', () => ({ head: 'HTTP/1.1 200 ', more: BLOCK })],
  ['a head', (id) => ({
    head: createHead(id, ['X-Endless: ']).trimEnd(), more: BLOCK,
  })],
  ['no HTTP at all', () => ({ head: '', more: BLOCK })],
  ['informational answers', () => ({ head: '', more: INFORMATIONAL })],
  ['a body by chunks', (id) => ({ head: createHead(id, [CHUNKED]), more: CHUNK })],
  ['a body by tiny chunks', (id) => ({ head: createHead(id, [CHUNKED]), more: TINY_CHUNKS })],
  ['a body without length', (id) => ({ head: createHead(id, ['Connection: close']), more: BLOCK })],
  ['a trailer', (id) => ({ head: `${createHead(id, [CHUNKED])}0\r\nX-Endless: `, more: BLOCK })],
  ['the line before a chunk', (id) => ({
    head: `${createHead(id, [CHUNKED])}1;x=`, more: BLOCK,
  })],
  ['a body that says failure', (id) => ({
    head: createHead(id, [CHUNKED]).replace('200 OK', '500 Failed'), more: CHUNK,
  })],
];

const STREAM_FLOODS: readonly (readonly [string, FloodMaker])[] = [
  ['an event', (id) => ({ head: createHead(id, [EVENTS, CHUNKED]), more: CHUNK })],
  ['an event by tiny chunks', (id) => ({
    head: createHead(id, [EVENTS, CHUNKED]), more: TINY_CHUNKS,
  })],
  ['events', (id) => ({
    head: createHead(id, [EVENTS, 'Connection: close']), more: Buffer.from(': x\n\n'.repeat(8_192)),
  })],
];

let bed: RelayTestBed | null = null;

/** Sends without end, as fast as the peer reads, until the peer closes the connection. */
function flood(socket: Socket, { head, more }: Flood, onSent: (bytes: number) => void): void {
  const send = (): void => {
    while (!socket.destroyed && socket.write(more)) {
      onSent(more.length);
    }
  };
  socket.on('error', () => undefined);
  socket.on('drain', send);
  socket.write(head);
  send();
}

interface FloodRun {
  readonly statuses: readonly number[];
  /** Maximum that one flood sent before its connection was closed. */
  readonly mostBytes: number;
  readonly floodCount: number;
  readonly openCount: number;
}

async function runFlood(path: string, createFlood: FloodMaker): Promise<FloodRun> {
  const sent = new Map<Socket, number>();
  let openCount = 0;
  const closings: Promise<void>[] = [];
  const flooding: UpstreamHandler = (request, response) => {
    const { socket } = request;
    openCount += 1;
    closings.push(new Promise<void>((resolve) => {
      socket.once('close', () => {
        openCount -= 1;
        resolve();
      });
    }));
    response.detachSocket(socket);
    flood(socket, createFlood(String(request.headers['x-request-id'])), (bytes) => {
      sent.set(socket, (sent.get(socket) ?? 0) + bytes);
    });
  };
  bed = new RelayTestBed();
  await bed.start([flooding, (_request, response) => response.end('id: 1\ndata: fine\n\n')]);
  const statuses: number[] = [];
  for (let index = 0; index < REQUEST_COUNT; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- sends one request after another
    const { status } = await bed.send(path, {
      'x-request-id': `r${index}`, 'x-token-usage': '10,100', 'x-prompt-prefix': 'a:10',
    });
    statuses.push(status);
  }
  // The upstream learns of a closed connection after the caller has its answer from another one. A
  // connection that stays open fails the test by its timeout.
  await Promise.all(closings);
  return {
    statuses, mostBytes: Math.max(0, ...sent.values()), floodCount: sent.size, openCount,
  };
}

function checkFlood({
  statuses, mostBytes, floodCount, openCount,
}: FloodRun): void {
  ok(floodCount > 0, 'the flooding upstream received no request');
  ok(mostBytes <= MAX_EXCHANGE_BYTES + SOCKET_BYTES, `${mostBytes} bytes were read`);
  equal(openCount, 0);
  ok(statuses.every((status) => status === 200), statuses.join(' '));
}

describe('RelayHost with endless answers', () => {
  afterEach(async () => {
    await bed?.close();
  });

  FLOODS.forEach(([name, createFlood]) => {
    it(`aborts the attempt and retries on another upstream: ${name}`, async () => {
      checkFlood(await runFlood('/safe/', createFlood));
    });
  });

  it('bounds the memory of many endless events at once', async () => {
    // Each stays just under the limit of one event and never ends.
    const head = 'id: 1\ndata: ';
    const stall: UpstreamHandler = (request, response) => {
      response.write(head);
      for (let sentBytes = 0; sentBytes < STALLED_EVENT_BYTES; sentBytes += BLOCK.length) {
        response.write(BLOCK);
      }
    };
    bed = new RelayTestBed();
    await bed.start([stall]);
    const target = bed;
    const answers = Promise.all(Array.from({ length: STALLED_COUNT }, (_, index) => (
      target.send('/single/', { 'x-request-id': `r${index}` }))));
    const beforeBytes = process.memoryUsage().arrayBuffers;
    let mostBytes = 0;
    const timer = setInterval(() => {
      mostBytes = Math.max(mostBytes, process.memoryUsage().arrayBuffers - beforeBytes);
    }, 10);
    const statuses = (await answers).map(({ status }) => status);
    clearInterval(timer);
    ok(statuses.every((status) => status >= 500), statuses.join(' '));
    ok(mostBytes <= MAX_STALLED_BYTES, `${mostBytes} bytes were buffered`);
  });

  STREAM_FLOODS.forEach(([name, createFlood]) => {
    it(`aborts the attempt in a stream and resumes on another engine: ${name}`, async () => {
      checkFlood(await runFlood('/stream/', createFlood));
    });
  });
});
