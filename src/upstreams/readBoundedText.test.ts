import { equal, rejects } from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { AnswerTooLargeError } from './AnswerTooLargeError.ts';
import { readBoundedText } from './readBoundedText.ts';
import { UpstreamConnections } from './UpstreamConnections.ts';

const MAX_BYTES = 10_000;

describe('readBoundedText', () => {
  let answer: (response: ServerResponse) => void = () => undefined;
  const connections = new UpstreamConnections();
  const server = createServer((request, response) => {
    answer(response);
    request.resume();
  });

  afterEach(async () => {
    await connections.close();
    server.close();
    server.closeAllConnections();
  });

  async function read(): Promise<string> {
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const { body } = await connections.get(`http://127.0.0.1:${port}`)
      .request({ method: 'GET', path: '/' });
    return readBoundedText(body, MAX_BYTES);
  }

  it('reads a body within the limit', async () => {
    answer = (response) => response.end('größe');
    equal(await read(), 'größe');
  });

  it('rejects a body without an end and closes the connection', async () => {
    let isClosed: Promise<unknown> | null = null;
    answer = (response) => {
      isClosed = once(response, 'close');
      const send = (): void => {
        while (!response.destroyed && response.write('x'.repeat(1_000)));
      };
      response.on('drain', send);
      send();
    };
    await rejects(read(), AnswerTooLargeError);
    await isClosed;
  });

  it('rejects a truncated body', async () => {
    answer = (response) => {
      response.writeHead(200, { 'content-length': 10 });
      response.write('x', () => response.destroy());
    };
    await rejects(read());
  });
});
