import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

interface ConnectionState {
  /** Requests whose answer has not been handed to the operating system. */
  openCount: number;
  /** Bytes received until the last answer ended; null before the first one. */
  bytesReadAtEnd: number | null;
}

/**
 * The connections of callers, of which a stopping host closes the idle ones. Node counts one as
 * idle as soon as its answer was passed to `end`, although a slow caller has read only a part.
 */
export class CallerConnections {
  readonly #states = new Map<Socket, ConnectionState>();

  /** @param socket - a connection that was accepted */
  add(socket: Socket): void {
    this.#states.set(socket, { openCount: 0, bytesReadAtEnd: null });
    socket.once('close', () => this.#states.delete(socket));
  }

  /**
   * @param socket - connection on which a request has arrived
   * @param response - its answer
   */
  recordRequest(socket: Socket, response: ServerResponse): void {
    const state = this.#states.get(socket);
    if (state === undefined) {
      return;
    }
    state.openCount += 1;
    response.once('close', () => {
      state.openCount -= 1;
      state.bytesReadAtEnd = socket.bytesRead;
    });
  }

  /** Closes the connections that have brought nothing since their last answer was written. */
  closeIdle(): void {
    this.#states.forEach(({ openCount, bytesReadAtEnd }, socket) => {
      if (openCount === 0 && socket.bytesRead === bytesReadAtEnd) {
        socket.destroy();
      }
    });
  }
}
