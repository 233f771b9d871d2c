import { pino, type Logger } from 'pino';

/** Members that never appear in a log, wherever they come from. */
const SECRET_PATHS = [
  'operatorKey', 'peerKey', 'callerKey', 'authorization', '*.operatorKey', '*.peerKey',
  '*.callerKey', '*.authorization', 'headers.authorization', 'headers.cookie',
];

/**
 * Creates the process's logger: JSON lines on standard error.
 *
 * @param level - the least severity that is written
 * @param bindings - members of every line, such as host and incarnation
 * @returns the logger
 */
export function createLogger(level: string, bindings: Record<string, string>): Logger {
  const destination = pino.destination({ dest: 2, sync: false });
  return pino({
    level, base: bindings, redact: { paths: SECRET_PATHS, censor: '[redacted]' },
  }, destination);
}
