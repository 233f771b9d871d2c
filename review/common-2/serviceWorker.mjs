/* The process of a service engine: listens on the socket that its supervisor has opened for it
   (file descriptor 3), and ends each answer with its channel, without a length or chunks. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import process from 'node:process';
import { setTimeout } from 'node:timers';

const [id, bodyBytes, workMs] = process.argv.slice(2);
/** Each answer of this number is broken off after its first half, in order; 0 for none. */
let garbledEvery = 0;
let answerCount = 0;
const SOCKET = 3;
/** Share of the work after which the first half of an answer is written. */
const FIRST_HALF_AT = 1 / 3;

/** The body of the answer to a request: as long as asked for, with a last line. */
function createBody(requestId) {
  const text = `seat of ${requestId} `.repeat(Math.ceil(Number(bodyBytes) / 10))
    .slice(0, Number(bodyBytes) - 4);
  return Buffer.from(`${text}end\n`);
}

function answer(request, response) {
  const requestId = request.headers['x-request-id'];
  process.send({ kind: 'run', detail: requestId });
  const body = createBody(requestId);
  const half = Math.floor(body.length / 2);
  answerCount += 1;
  const isGarbled = garbledEvery > 0 && answerCount % garbledEvery === 0;
  setTimeout(() => {
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200, {
      'X-Request-Id': requestId,
      'X-Response-Signature': `sig-${id}-${requestId}`,
      Connection: 'close',
    });
    response.write(body.subarray(0, half));
    setTimeout(() => {
      response.end(isGarbled ? undefined : body.subarray(half));
      process.send({ kind: isGarbled ? 'broken off' : 'answered', detail: requestId });
    }, Number(workMs) * (1 - FIRST_HALF_AT));
  }, Number(workMs) * FIRST_HALF_AT);
}

const server = createServer((request, response) => {
  const expected = request.headers['x-expect-instance'];
  const requestId = request.headers['x-request-id'];
  if (expected !== undefined && expected !== id) {
    const echo = requestId === undefined ? {} : { 'X-Request-Id': requestId };
    response.writeHead(421, { ...echo, 'X-Not-Executed': '1', 'X-Instance-Id': id }).end();
  } else if (request.url === '/health') {
    response.writeHead(200, { 'X-Instance-Id': id }).end();
  } else {
    request.resume();
    request.on('end', () => answer(request, response));
  }
});
server.listen({ fd: SOCKET }, () => process.send({ kind: 'ready' }));
process.on('message', (command) => {
  garbledEvery = command.garbledEvery;
  answerCount = 0;
});
process.on('disconnect', () => process.exit(0));
