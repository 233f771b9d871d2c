import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';

const FIRST_ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}';

/** Server that answers the first request on a connection and closes it at the second. */
export class ClosingServer {
  requestCount = 0;

  readonly #server = createServer((socket) => this.#serve(socket));

  /**
   * @returns the base URL
   */
  async listen(): Promise<string> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Stops accepting connections. */
  async close(): Promise<void> {
    this.#server.close();
    await once(this.#server, 'close');
  }

  #serve(socket: Socket): void {
    let answerCount = 0;
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      this.requestCount += bytes.toString('latin1').split('POST /').length - 1;
      if (answerCount > 0) {
        socket.destroy();
        return;
      }
      answerCount += 1;
      socket.write(FIRST_ANSWER);
    });
  }
}
