/* global Buffer */
import { createServer, request as sendRequest } from 'node:http';

const LOOPBACK = '127.0.0.1';

/**
 * The path of one machine to the store. The machine gets the addresses of its own links to the
 * servers, so that a test can cut the links of one machine only.
 */
export class StoreView {
  #isCut = false;

  #server = createServer((request, response) => this.#forward(request, response));

  /**
   * @param storeAddress - address of the store
   * @param getAddress - returns the address of this machine's link by that of a server
   */
  constructor(storeAddress, getAddress) {
    this.storeAddress = storeAddress;
    this.getAddress = getAddress;
  }

  get address() {
    return `${LOOPBACK}:${this.#server.address().port}`;
  }

  async listen() {
    await new Promise((resolve) => {
      this.#server.listen(0, LOOPBACK, resolve);
    });
  }

  /** From now on no call reaches the store and no answer returns. */
  cut() {
    this.#isCut = true;
  }

  heal() {
    this.#isCut = false;
  }

  #forward(request, response) {
    response.on('error', () => {});
    if (this.#isCut) {
      return;
    }
    const [host, port] = this.storeAddress.split(':');
    const forwarded = sendRequest({
      host, port, method: request.method, path: request.url, headers: request.headers,
    }, (answer) => {
      const chunks = [];
      answer.on('data', (chunk) => chunks.push(chunk));
      answer.on('end', () => {
        if (this.#isCut) {
          return;
        }
        const text = this.#rewrite(Buffer.concat(chunks).toString());
        response.writeHead(answer.statusCode, {
          ...answer.headers, 'content-length': String(Buffer.byteLength(text)),
        }).end(text);
      });
      answer.on('error', () => response.destroy());
    });
    forwarded.on('error', () => response.destroy());
    response.once('close', () => forwarded.destroy());
    request.pipe(forwarded);
  }

  #rewrite(text) {
    if (!text.includes('servers/')) {
      return text;
    }
    const fields = JSON.parse(text);
    [fields, ...fields.items ?? [], ...fields.events ?? []]
      .filter(({ key, value }) => key?.startsWith('servers/') && value !== undefined)
      .forEach((item) => {
        const entry = JSON.parse(Buffer.from(item.value, 'base64').toString());
        entry.address = this.getAddress(entry.address);
        Object.assign(item, { value: Buffer.from(JSON.stringify(entry)).toString('base64') });
      });
    return JSON.stringify(fields);
  }
}
