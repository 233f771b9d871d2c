import { deepEqual, equal } from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { once } from 'node:events';
import { afterEach, describe, it } from 'node:test';
import {
  RelayTestBed, type BedAnswer, type UpstreamHandler,
} from '../../test/support/RelayTestBed.ts';

const UPLOAD = Buffer.alloc(4_000_000, 'upload');
const ROUTES = ['safe', 'once', 'single', 'stream'] as const;
const EVENT = 'id: 1\ndata: a\n\n';
const PAUSE_MS = 20;
const UNMARKED_SUCCESS = 'HTTP/1.1 200 OK\r\n';

let bed: RelayTestBed | null = null;

async function startBed(handler: UpstreamHandler): Promise<RelayTestBed> {
  const started = new RelayTestBed();
  bed = started;
  await started.start([handler, handler]);
  return started;
}

/** Sends an upload; an answer that breaks off has no status. */
async function sendUpload(target: RelayTestBed, path: string): Promise<BedAnswer | null> {
  return target.send(path, {}, UPLOAD).catch(() => null);
}

/** Answers at once without a length, reads no more, and ends the connection in order. */
function answerUnread(statusLine: string): UpstreamHandler {
  return (request) => {
    const { socket } = request;
    request.pause();
    socket.write(`${statusLine}X-Request-Id: r1\r\n\r\n${EVENT}`);
    setTimeout(() => socket.end(), PAUSE_MS);
  };
}

describe('RelayHost with upstreams that answer before they have read an upload', () => {
  afterEach(async () => {
    await bed?.close();
  });

  ROUTES.forEach((route) => {
    it(`takes no part without a length for the whole answer, route ${route}`, async () => {
      const target = await startBed(answerUnread(UNMARKED_SUCCESS));
      const answer = await sendUpload(target, `/${route}/`);
      equal(answer?.status === 200, false);
    });

    it(`passes on a refusal of the upload, route ${route}`, async () => {
      const target = await startBed((request, response) => {
        request.pause();
        response.writeHead(413, { 'content-length': '5', connection: 'close' }).end('large');
      });
      equal((await sendUpload(target, `/${route}/`))?.status, 413);
    });
  });

  it('passes on a refusal without a length', async () => {
    const target = await startBed(answerUnread('HTTP/1.1 413 Content Too Large\r\n'));
    equal((await sendUpload(target, '/once/'))?.status, 413);
  });

  it('passes on an early success with a length, and serves the next request', async () => {
    const target = await startBed((request, response) => {
      request.pause();
      response.writeHead(200, { 'content-length': '2' }).end('ok');
      setTimeout(() => request.resume(), PAUSE_MS);
    });
    equal((await sendUpload(target, '/once/'))?.text, 'ok');
    equal((await sendUpload(target, '/once/'))?.text, 'ok');
  });

  it('passes on an answer without a length once the upload is read, whole', async () => {
    const hashes: string[] = [];
    const target = await startBed((request, response) => {
      if (request.url === '/health') {
        response.end();
        return;
      }
      const hash = createHash('sha256');
      request.on('data', (chunk: Buffer) => hash.update(chunk));
      once(request, 'end').then(() => {
        hashes.push(hash.digest('hex'));
        request.socket.end(`${UNMARKED_SUCCESS}X-Request-Id: r1\r\n\r\nok`);
      }).catch(() => response.destroy());
    });
    equal((await sendUpload(target, '/once/'))?.text, 'ok');
    deepEqual(hashes, [createHash('sha256').update(UPLOAD).digest('hex')]);
  });

  ['000', '099', '600', '999'].forEach((status) => {
    ROUTES.forEach((route) => {
      it(`passes on no answer of status ${status}, route ${route}`, async () => {
        const target = await startBed((request) => {
          request.resume();
          request.on('end', () => request.socket.write(
            `HTTP/1.1 ${status} Odd\r\nX-Request-Id: r1\r\nContent-Length: 2\r\n\r\nok`,
          ));
        });
        equal((await sendUpload(target, `/${route}/`))?.status, 502);
      });
    });
  });
});
