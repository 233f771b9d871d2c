import type { Socket } from 'node:net';
import { buildConnector } from 'undici';
import { AnswerTooLargeError } from './AnswerTooLargeError.ts';

/** Stands for a reset where undici would take `ECONNRESET` for the end of an answer. */
const RESET_CODE = 'ERR_CONNECTION_RESET';
/**
 * Bytes of one answer, whatever they are: the status line, the lines around chunks and the like
 * have no bound of their own.
 */
export const MAX_EXCHANGE_BYTES = 32 * 1024 * 1024;

function renameReset(error: NodeJS.ErrnoException): void {
  if (error.code === 'ECONNRESET') {
    error.code = RESET_CODE;
  }
}

/** Ends a connection on which more comes back to one request than any answer holds. */
function limitExchangeBytes(socket: Socket): void {
  let bytesWritten = 0;
  let bytesReadBefore = 0;
  socket.prependListener('readable', () => {
    if (socket.bytesWritten !== bytesWritten) {
      // Another request has been sent.
      bytesWritten = socket.bytesWritten;
      bytesReadBefore = socket.bytesRead;
    }
    if (socket.bytesRead - bytesReadBefore > MAX_EXCHANGE_BYTES) {
      socket.destroy(new AnswerTooLargeError('an answer', `${MAX_EXCHANGE_BYTES} bytes`));
    }
  });
}

/**
 * Creates what opens undici's connections. undici takes a reset for the end of an answer that has
 * no length; such an answer is not whole, so the reset gets a code that undici reports as an error.
 * A connection whose answer has no end is closed.
 *
 * @param timeoutMs - time that a connect may take
 * @returns the connector
 */
export function createConnector(timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs });
  return (options, callback) => {
    connect(options, (...result) => {
      const [error, socket] = result;
      if (error === null) {
        socket.prependListener('error', renameReset);
        limitExchangeBytes(socket);
      }
      callback(...result);
    });
  };
}
