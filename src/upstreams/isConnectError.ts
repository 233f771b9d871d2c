import { errors } from 'undici';

/**
 * @param error - why a request failed
 * @returns whether its connection was not established, so that nothing was sent
 */
export function isConnectError(error: unknown): boolean {
  return error instanceof errors.ConnectTimeoutError
    || (error as { syscall?: unknown }).syscall === 'connect';
}

/**
 * @param error - why a request failed
 * @returns whether nothing listens at the address, so that the process there has ended
 */
export function isConnectionRefused(error: unknown): boolean {
  return (error as { code?: unknown }).code === 'ECONNREFUSED';
}
