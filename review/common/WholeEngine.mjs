/* global clearTimeout, setTimeout */
import { Engine } from './Engine.mjs';

/** Stand-in of a plain service: works for a while and answers with a whole body. */
export class WholeEngine extends Engine {
  constructor(options) {
    super(options);
    /** Called with each request that begins to run. */
    this.onRun = () => {};
  }

  serve = (request, response, requestBody) => {
    const { workMs, createBody } = this.options;
    const id = request.headers['x-request-id'];
    this.onRun(request, requestBody);
    const timer = { id: null };
    timer.id = setTimeout(() => {
      const body = createBody(id);
      response.writeHead(200, {
        'Content-Type': 'application/octet-stream',
        'Content-Length': body.length,
        'X-Response-Signature': `${this.id}.${id}`,
      });
      response.end(body);
    }, workMs);
    response.once('close', () => clearTimeout(timer.id));
  };
}
