import { toId, type HostId, type RequestId } from '../lib/ids.ts';
import { REQUEST_ID_SEPARATOR } from './createRequestId.ts';

/**
 * Extracts the host that accepted a request from the request id.
 *
 * @param requestId - the request id
 * @returns the host id; empty when the request id names no host
 */
export function getRequestHostId(requestId: RequestId): HostId {
  const end = requestId.lastIndexOf(REQUEST_ID_SEPARATOR);
  return toId<HostId>(requestId.slice(0, Math.max(0, end)));
}
