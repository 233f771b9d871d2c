import { pino, type Logger } from 'pino';

/** Paths of fields whose values are redacted in every log line. */
const SECRET_PATHS = [
  'operatorKey', 'peerKey', 'callerKey', 'authorization', '*.operatorKey', '*.peerKey',
  '*.callerKey', '*.authorization', 'headers.authorization', 'headers.cookie',
];

/**
 * Creates the logger of the process, which writes JSON lines to standard error.
 *
 * @param level - lowest severity that is written
 * @param bindings - fields of every line, such as host and incarnation ids
 * @returns the logger
 */
export function createLogger(level: string, bindings: Record<string, string>): Logger {
  const destination = pino.destination({ dest: 2, sync: false });
  return pino({
    level, base: bindings, redact: { paths: SECRET_PATHS, censor: '[redacted]' },
  }, destination);
}
