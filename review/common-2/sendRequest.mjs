import { request as openRequest } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';

/**
 * Sends one client attempt over a channel of its own and reads its answer.
 *
 * @returns {Promise<{ status: number | null, headers: object, body: string, isWhole: boolean,
 *   detail: string }>} the answer; `isWhole` is false where it ended before its marked end
 */
export function sendRequest({
  address, method, path, headers, body = '', timeoutMs,
}) {
  return new Promise((resolve) => {
    const result = {
      status: null, headers: {}, body: '', isWhole: false, detail: '',
    };
    const call = openRequest({
      host: address.host, port: address.port, method, path, headers, agent: false,
    });
    const timer = setTimeout(() => call.destroy(new Error('the client gave up')), timeoutMs);
    const finish = (detail) => {
      clearTimeout(timer);
      resolve({ ...result, detail });
    };
    call.on('error', (error) => finish(error.message));
    call.on('response', (response) => {
      result.status = response.statusCode;
      result.headers = response.headers;
      response.setEncoding('latin1');
      response.on('data', (chunk) => {
        result.body += chunk;
      });
      response.on('error', (error) => finish(error.message));
      response.on('end', () => {
        result.isWhole = response.complete;
        finish('');
      });
    });
    call.end(body);
  });
}
