import { toId, type HostId, type RequestId } from '../lib/ids.ts';
import { REQUEST_ID_SEPARATOR } from './createRequestId.ts';

/**
 * @param requestId - a request
 * @returns the host that took it; empty for an id that names none
 */
export function getRequestHostId(requestId: RequestId): HostId {
  const end = requestId.lastIndexOf(REQUEST_ID_SEPARATOR);
  return toId<HostId>(requestId.slice(0, Math.max(0, end)));
}
