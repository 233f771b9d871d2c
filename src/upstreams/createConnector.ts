import { buildConnector } from 'undici';

/** Stands for a reset where undici would take `ECONNRESET` for the end of an answer. */
const RESET_CODE = 'ERR_CONNECTION_RESET';

function renameReset(error: NodeJS.ErrnoException): void {
  if (error.code === 'ECONNRESET') {
    error.code = RESET_CODE;
  }
}

/**
 * Creates what opens undici's connections. undici takes a reset for the end of an answer that has
 * no length; such an answer is not whole, so the reset gets a code that undici reports as an error.
 *
 * @param timeoutMs - time that a connect may take
 * @returns the connector
 */
export function createConnector(timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs });
  return (options, callback) => {
    connect(options, (...result) => {
      const [, socket] = result;
      (socket)?.prependListener('error', renameReset);
      callback(...result);
    });
  };
}
