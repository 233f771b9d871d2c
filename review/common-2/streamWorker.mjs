/* The process of a model engine: listens on the socket that its supervisor has opened for it
   (file descriptor 3). Its answers, streams too, end with their channel, without a length or
   chunks; each event is one write. It needs some time before it serves. */
import { createServer } from 'node:http';
import process from 'node:process';
import { setTimeout } from 'node:timers';

const [id, born, loadMs, eventCount, gapMs, firstMs] = process.argv.slice(2);
const SOCKET = 3;
let activeCount = 0;

function answerWhole(request, response, status, headers, text = '') {
  const requestId = request.headers['x-request-id'];
  response.writeHead(status, {
    ...(requestId === undefined ? {} : { 'X-Request-Id': requestId }), ...headers,
  }).end(text);
}

function run(request, response) {
  const requestId = request.headers['x-request-id'];
  const resumedAt = request.headers['last-event-id'];
  const first = resumedAt === undefined ? 1 : Number(resumedAt) + 1;
  process.send({ kind: 'run', detail: `${requestId} from event ${first}` });
  activeCount += 1;
  response.once('close', () => {
    activeCount -= 1;
  });
  response.useChunkedEncodingByDefault = false;
  const send = (number) => {
    if (response.destroyed) {
      return;
    }
    if (number === first) {
      response.writeHead(200, {
        'Content-Type': 'text/event-stream',
        'X-Request-Id': requestId,
        'X-Response-Signature': `sig-${id}-${requestId}`,
        'X-Weight-Versions': '1',
        Connection: 'close',
      });
    }
    if (number > Number(eventCount)) {
      response.end();
      return;
    }
    response.write(`id: ${number}\ndata: v1 of ${id}\n\n`);
    if (number < Number(eventCount)) {
      setTimeout(() => send(number + 1), Number(gapMs));
    } else {
      response.end();
      process.send({ kind: 'answered', detail: requestId });
    }
  };
  setTimeout(() => send(first), Number(firstMs));
}

const server = createServer((request, response) => {
  request.resume();
  const expected = request.headers['x-expect-instance'];
  if (expected !== undefined && expected !== id) {
    answerWhole(request, response, 421, { 'X-Not-Executed': '1', 'X-Instance-Id': id });
  } else if (request.url === '/health') {
    answerWhole(request, response, 200, { 'X-Instance-Id': id });
  } else if (request.url === '/-/report') {
    answerWhole(request, response, 200, { 'Content-Type': 'application/json' }, JSON.stringify({
      stage: 'combined',
      models: [{ name: 'm', version: 1, adapters: [] }],
      busy: false,
      sequence: 0,
      queued: 0,
      active: activeCount,
      kv_used: activeCount * 600,
      kv_total: 326_199,
      handles: 0,
      born: Number(born),
    }));
  } else {
    run(request, response);
  }
});
setTimeout(() => {
  server.listen({ fd: SOCKET }, () => process.send({ kind: 'ready' }));
}, Number(loadMs));
process.on('disconnect', () => process.exit(0));
