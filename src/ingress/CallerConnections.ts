import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Requests that may wait on one connection for the answers before them. */
const MAX_WAITING_REQUESTS = 32;

interface WaitingRequest {
  readonly response: ServerResponse;
  readonly start: () => void;
}

interface ConnectionState {
  /** Whether a request's answer has not been handed to the operating system. */
  isOpen: boolean;
  /** Requests that arrived before the answer to an earlier one. */
  readonly waiting: WaitingRequest[];
  /** Bytes received until the last answer ended; null before the first one. */
  bytesReadAtEnd: number | null;
}

/**
 * The connections of callers, of which a stopping host closes the idle ones. Node counts one as
 * idle as soon as its answer was passed to `end`, although a slow caller has read only a part.
 */
export class CallerConnections {
  readonly #states = new Map<Socket, ConnectionState>();

  readonly #maxConnections: number;

  /**
   * @param maxConnections - largest number of connections; beyond it, the oldest one without a
   *   request gives way to a new one
   */
  constructor(maxConnections: number) {
    this.#maxConnections = maxConnections;
  }

  /** @param socket - a connection that was accepted; closed at once if there is no room */
  add(socket: Socket): void {
    if (this.#states.size >= this.#maxConnections && !this.#closeOldestIdle()) {
      socket.destroy();
      return;
    }
    this.#states.set(socket, { isOpen: false, waiting: [], bytesReadAtEnd: null });
    socket.once('close', () => this.#states.delete(socket));
  }

  /**
   * Starts the requests of a connection one after the other. A connection that sends many before
   * it reads their answers is closed, since each of them takes memory.
   *
   * @param socket - connection on which a request has arrived
   * @param response - its answer
   * @param start - starts the request
   */
  schedule(socket: Socket, response: ServerResponse, start: () => void): void {
    const state = this.#states.get(socket);
    if (state === undefined) {
      return;
    }
    if (!state.isOpen) {
      this.#start(socket, state, { response, start });
    } else if (state.waiting.length < MAX_WAITING_REQUESTS) {
      state.waiting.push({ response, start });
    } else {
      socket.destroy();
    }
  }

  /** Closes the connections that have brought nothing since their last answer was written. */
  closeIdle(): void {
    this.#states.forEach(({ isOpen, bytesReadAtEnd }, socket) => {
      if (!isOpen && socket.bytesRead === bytesReadAtEnd) {
        socket.destroy();
      }
    });
  }

  #start(socket: Socket, state: ConnectionState, { response, start }: WaitingRequest): void {
    Object.assign(state, { isOpen: true });
    response.once('close', () => {
      // After an answer that closes the connection, later requests could not be answered.
      const next = socket.writable ? state.waiting.shift() : undefined;
      Object.assign(state, { isOpen: false, bytesReadAtEnd: socket.bytesRead });
      if (next !== undefined) {
        this.#start(socket, state, next);
      }
    });
    start();
  }

  /** Closes the connection that has been open longest of those without a request. */
  #closeOldestIdle(): boolean {
    // eslint-disable-next-line no-restricted-syntax -- ends at the first one
    for (const [socket, { isOpen }] of this.#states) {
      if (!isOpen && !socket.destroyed) {
        this.#states.delete(socket);
        socket.destroy();
        return true;
      }
    }
    return false;
  }
}
