import { Buffer } from 'node:buffer';
import { Agent, request as createRequest } from 'node:http';

/**
 * Sends one request as a client does, on a new channel unless an agent is given.
 *
 * @param target - `host` and `port` of an entry host
 * @param options - method, path, headers, body
 * @returns status (null without an answer), headers, text, and whether the answer was complete
 */
export function sendRequest(target, {
  method = 'POST', path, headers = {}, body = '', agent = new Agent({ keepAlive: false }),
}) {
  return new Promise((resolve) => {
    const answer = {
      status: null, headers: {}, text: '', isComplete: false, error: null,
    };
    let isDone = false;
    const finish = () => {
      if (!isDone) {
        isDone = true;
        resolve(answer);
      }
    };
    const request = createRequest({
      ...target,
      agent,
      method,
      path,
      headers: { ...headers, 'Content-Length': String(Buffer.byteLength(body)) },
    }, (response) => {
      answer.status = response.statusCode ?? null;
      answer.headers = response.headers;
      response.setEncoding('utf8');
      response.on('data', (text) => {
        answer.text += text;
      });
      response.on('end', () => {
        answer.isComplete = response.complete;
        finish();
      });
      response.on('error', finish);
      response.on('close', finish);
    });
    request.on('error', (error) => {
      answer.error = error.code ?? error.message;
      finish();
    });
    request.on('close', finish);
    request.end(body);
  });
}
