import { equal, rejects } from 'node:assert/strict';
import { once } from 'node:events';
import {
  createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {
  afterEach, beforeEach, describe, it,
} from 'node:test';
import { getFreePort, TEST_IP } from '../../test/support/getFreePort.ts';
import { UpstreamConnections } from './UpstreamConnections.ts';

const HEAD = 'HTTP/1.1 200 OK\r\n';
const BODY = 'id: 1\ndata: a\n\n';
/** More than the kernel's buffers and those of a reader that has paused. */
const LARGE_BODY = 'x'.repeat(8_000_000);
/** Time for which a reader does not read. */
const PAUSE_MS = 100;

function endByReset(socket: Socket, text: string): void {
  socket.write(text);
  socket.resetAndDestroy();
}

describe('createConnector', () => {
  const connections = new UpstreamConnections();
  let server: Server;

  beforeEach(() => {
    server = createServer();
  });

  afterEach(async () => {
    server.close();
    await connections.close();
  });

  /** Starts an upstream that answers each request in the given way. */
  async function listen(answer: (socket: Socket) => void): Promise<string> {
    server.on('connection', (socket) => {
      socket.on('error', () => {});
      socket.once('data', () => answer(socket));
    });
    server.listen(0, TEST_IP);
    await once(server, 'listening');
    return `http://${TEST_IP}:${(server.address() as AddressInfo).port}`;
  }

  async function read(url: string, pauseMs = 0): Promise<string> {
    const { body } = await connections.get(url).request({ method: 'GET', path: '/' });
    const timer = setTimeout(() => body.resume(), pauseMs);
    body.pause();
    try {
      const chunks: Buffer[] = [];
      body.on('data', (chunk: Buffer) => chunks.push(chunk));
      await once(body, 'end');
      return Buffer.concat(chunks).toString();
    } finally {
      clearTimeout(timer);
    }
  }

  it('reports a refused connection as an error and does not end the process', async () => {
    const port = await getFreePort();
    await rejects(connections.get(`http://${TEST_IP}:${port}`).request({
      method: 'GET', path: '/',
    }), { code: 'ECONNREFUSED' });
  });

  it('reports a reset right after the last bytes of an answer without a length', async () => {
    await rejects(read(await listen((socket) => endByReset(socket, `${HEAD}\r\n${BODY}`))));
  });

  it('reports a reset right after the last bytes of an answer with Connection: close', async () => {
    const head = `${HEAD}Connection: close\r\n`;
    await rejects(read(await listen((socket) => endByReset(socket, `${head}\r\n${BODY}`))));
  });

  it('reports a reset that arrives while the reader has paused', async () => {
    const url = await listen((socket) => {
      socket.write(`${HEAD}\r\n${LARGE_BODY}`, () => socket.resetAndDestroy());
    });
    await rejects(read(url, PAUSE_MS));
  });

  it('takes a close in order for the end of an answer without a length', async () => {
    equal(await read(await listen((socket) => socket.end(`${HEAD}\r\n${BODY}`))), BODY);
  });

  it('takes a close in order for the end of a large answer that is read late', async () => {
    const url = await listen((socket) => socket.end(`${HEAD}\r\n${LARGE_BODY}`));
    equal((await read(url, PAUSE_MS)).length, LARGE_BODY.length);
  });

  it('completes an answer with a length although a reset follows it', async () => {
    const text = `${HEAD}Content-Length: ${BODY.length}\r\n\r\n${BODY}`;
    equal(await read(await listen((socket) => endByReset(socket, text))), BODY);
  });
});
