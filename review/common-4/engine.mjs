/* global setTimeout */
/*
 * An engine of a plain service, in a process of its own. Each start is a new lifetime with an id.
 * It writes what arrives and what it runs to a file at once, so that nothing is lost at a kill.
 */
import { appendFileSync } from 'node:fs';
import { createServer } from 'node:http';
import process from 'node:process';
import { createAnswer } from './createAnswer.mjs';

const LOOPBACK = '127.0.0.1';
const CRASHING_BODY = 'crash';
const CRASH_DELAY_MS = 35;
const {
  id, port, recordFile, workMs, answerBytes, parts, hasLength, slots, queue, brittle,
} = JSON.parse(process.env.ENGINE);
const born = Date.now();
const waiting = [];
/** Times of the requests that were turned away for want of room, in the last second. */
let turnedAwayMs = [];
let runningCount = 0;

function record(entry) {
  appendFileSync(recordFile, `${JSON.stringify({ engine: id, atMs: Date.now(), ...entry })}\n`);
}

/** Ends the process, as some requests do once it has begun to run them. */
function crash(requestId) {
  setTimeout(() => {
    record({ kind: 'crashed', requestId });
    process.kill(process.pid, 'SIGKILL');
  }, CRASH_DELAY_MS);
}

function isBrittle(agoMs = 0) {
  const nowMs = Date.now();
  return brittle !== undefined
    && nowMs >= brittle.fromMs + agoMs && nowMs < brittle.untilMs;
}

/** Turns a request away; one too many in a second makes a brittle engine fall over. */
function turnAway(requestId, response) {
  response.writeHead(503, { 'X-Not-Executed': '1' }).end();
  if (!isBrittle(brittle?.contactMs)) {
    return;
  }
  const nowMs = Date.now();
  turnedAwayMs = [...turnedAwayMs.filter((atMs) => atMs > nowMs - 1000), nowMs];
  if (turnedAwayMs.length > brittle.perSecond) {
    record({
      kind: 'fell', turnedAway: turnedAwayMs.length, running: runningCount, waiting: waiting.length,
    });
    process.kill(process.pid, 'SIGKILL');
  }
}

function write(request, response, requestId) {
  const body = createAnswer(requestId, answerBytes);
  const partBytes = Math.ceil(body.length / parts);
  let offset = 0;
  const writeNext = () => {
    if (response.destroyed) {
      return;
    }
    const part = body.subarray(offset, offset + partBytes);
    offset += part.length;
    if (offset < body.length) {
      response.write(part);
      setTimeout(writeNext, workMs / parts);
    } else {
      response.end(part);
      record({ kind: 'answered', requestId });
    }
  };
  setTimeout(writeNext, workMs / parts);
}

function run(request, response, requestId) {
  runningCount += 1;
  response.once('close', () => {
    runningCount -= 1;
    waiting.shift()?.start();
  });
  record({ kind: 'run', requestId, path: request.url });
  response.setHeader('X-Response-Signature', `${id}.${requestId}.${answerBytes}`);
  response.setHeader('X-Server-Load', `${runningCount},${waiting.length},${slots}`);
  if (hasLength) {
    response.setHeader('Content-Length', String(answerBytes));
  } else {
    // The answer ends with its connection.
    response.useChunkedEncodingByDefault = false;
    response.setHeader('Connection', 'close');
  }
  response.statusCode = 200;
  response.setHeader('Content-Type', 'text/plain');
  write(request, response, requestId);
}

/** Makes the pieces of a call; one with the crashing key ends the process. */
function runStage(request, response) {
  let body = '';
  request.on('data', (chunk) => {
    body += chunk;
  }).on('end', () => {
    const { items } = JSON.parse(body);
    items.forEach((item) => record({
      kind: 'piece', requestId: item.id, stage: item.stage, piece: item.piece, key: item.key,
    }));
    const crashing = items.find(({ key }) => key === CRASHING_BODY);
    if (crashing !== undefined) {
      crash(crashing.id);
    }
    setTimeout(() => response.writeHead(200, { 'Content-Type': 'application/json' })
      .end(JSON.stringify({
        items: items.map((item) => ({
          handle: `${request.headers.host}/${item.id}${item.stage}${item.piece}`,
        })),
      })), workMs);
  });
}

const server = createServer((request, response) => {
  const requestId = request.headers['x-request-id'];
  response.sendDate = false;
  if (requestId !== undefined) {
    response.setHeader('X-Request-Id', requestId);
  }
  if (isBrittle()) {
    response.setHeader('Server-Brittle', String(brittle.perSecond));
  }
  const expected = request.headers['x-expect-instance'];
  if (expected !== undefined && expected !== id) {
    request.resume();
    response.writeHead(421, { 'X-Instance-Id': id, 'X-Not-Executed': '1' }).end();
  } else if (request.url === '/health') {
    response.writeHead(200, {
      'X-Instance-Id': id, 'X-Server-Load': `${runningCount},${waiting.length},${slots}`,
    }).end();
  } else if (request.url === '/-/report') {
    response.writeHead(200, { 'Content-Type': 'application/json' })
      .end(JSON.stringify({ born, queued: waiting.length, active: runningCount }));
  } else if (request.url === '/-/stage-run') {
    runStage(request, response);
  } else if (request.url === '/-/stage-free') {
    request.resume().on('end', () => response.writeHead(200).end());
  } else {
    record({ kind: 'arrived', requestId });
    let body = '';
    request.on('data', (chunk) => {
      body += chunk;
    }).on('end', () => {
      const room = isBrittle(brittle?.contactMs) ? brittle.queue : queue;
      const start = () => {
        run(request, response, requestId);
        if (body === CRASHING_BODY) {
          crash(requestId);
        }
      };
      if (runningCount < slots) {
        start();
      } else if (waiting.length < room) {
        waiting.push({ response, start });
        response.once('close', () => {
          const index = waiting.findIndex((entry) => entry.response === response);
          if (index >= 0) {
            waiting.splice(index, 1);
          }
        });
      } else {
        turnAway(requestId, response);
      }
    });
  }
});
server.keepAliveTimeout = 10_000;
server.listen(port, LOOPBACK, () => record({
  kind: 'started', born, port: server.address().port,
}));
