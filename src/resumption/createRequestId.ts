import { toId, type RequestId } from '../lib/ids.ts';

/** Separates the host id from the suffix in a request id. */
export const REQUEST_ID_SEPARATOR = '.';

/**
 * Creates a request id. It begins with the id of the host that accepts the request, so that any
 * host knows which host to query.
 *
 * @param hostId - the host that accepts the request
 * @param suffix - an unguessable text without a dot
 * @returns the request id
 */
export function createRequestId(hostId: string, suffix: string): RequestId {
  return toId<RequestId>(`${hostId}${REQUEST_ID_SEPARATOR}${suffix}`);
}
