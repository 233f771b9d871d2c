import { toId, type RequestId } from '../lib/ids.ts';

/** Stands between the host and the rest of a request's id. */
export const REQUEST_ID_SEPARATOR = '.';

/**
 * A request's id begins with the host that took it, so that any host knows whom to ask.
 *
 * @param hostId - the host that takes the request
 * @param suffix - an unguessable text without a dot
 * @returns the request's id
 */
export function createRequestId(hostId: string, suffix: string): RequestId {
  return toId<RequestId>(`${hostId}${REQUEST_ID_SEPARATOR}${suffix}`);
}
