import type { Socket } from 'node:net';
import { buildConnector, errors } from 'undici';
import { AnswerTooLargeError } from './AnswerTooLargeError.ts';

/** Replaces `ECONNRESET`, which undici would take for the end of an answer without a length. */
const RESET_CODE = 'ERR_CONNECTION_RESET';
/**
 * Largest size of one answer on the wire. The status line, chunk headers and the like have no limit
 * of their own.
 */
export const MAX_EXCHANGE_BYTES = 32 * 1024 * 1024;

function renameReset(error: NodeJS.ErrnoException): void {
  if (error.code === 'ECONNRESET') {
    error.code = RESET_CODE;
  }
}

/**
 * Ends a connection with an error when its end is a reset. Node reports a reset that arrives
 * together with the last bytes as an end in order; only the missing peer tells them apart.
 */
function reportLateResets(socket: Socket): void {
  const push = socket.push.bind(socket);
  socket.push = (chunk, encoding) => {
    // Asked for at the end only, since Node remembers the peer's address once it has read it.
    if (chunk === null && socket.remoteAddress === undefined) {
      socket.destroy(new errors.SocketError('the connection was reset'));
      return false;
    }
    return push(chunk, encoding);
  };
}

/** Closes a connection that receives more for one request than {@link MAX_EXCHANGE_BYTES}. */
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
 * Creates the connector for undici's connections. undici takes a reset for the end of an answer
 * that has no length. Such an answer is incomplete, so the reset gets another code, which undici
 * reports as an error. A connection whose answer has no end is closed.
 *
 * @param timeoutMs - timeout of a connect
 * @returns the connector
 */
export function createConnector(timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs });
  return (options, callback) => {
    connect(options, (...result) => {
      const [error, socket] = result;
      if (error === null) {
        socket.prependListener('error', renameReset);
        reportLateResets(socket);
        limitExchangeBytes(socket);
      }
      callback(...result);
    });
  };
}
