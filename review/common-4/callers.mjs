/* global performance, setTimeout, clearTimeout, Buffer */
import { randomBytes } from 'node:crypto';
import { Agent, request as sendRequest } from 'node:http';
import { HOST_NAME, KEY } from './bed.mjs';

export function createId() {
  return randomBytes(8).toString('hex');
}

/**
 * Sends one client attempt and reads its answer.
 *
 * @returns what the client saw; `isWhole` as HTTP marks it
 */
export function send(host, {
  path, id = createId(), method = 'POST', key = KEY, deadlineMs = 3000, body = '', agent,
  headers = {},
}) {
  const sentAtMs = performance.now();
  return new Promise((resolve) => {
    const finish = (result) => resolve({
      id, tookMs: Math.round(performance.now() - sentAtMs), ...result,
    });
    const request = sendRequest({
      host: host.ip,
      port: host.port,
      method,
      path,
      agent: agent ?? new Agent(),
      headers: {
        host: HOST_NAME,
        'x-request-id': id,
        'x-deadline-ms': String(deadlineMs),
        authorization: `Bearer ${key}`,
        'content-length': String(body.length),
        ...headers,
      },
    });
    const timer = setTimeout(() => request.destroy(new Error('deadline')), deadlineMs);
    request.on('error', (error) => {
      clearTimeout(timer);
      finish({ status: 0, detail: error.message, isWhole: false });
    });
    request.on('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', () => {});
      response.on('close', () => {
        clearTimeout(timer);
        finish({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks),
          isWhole: response.complete,
        });
      });
    });
    request.end(body);
  });
}
